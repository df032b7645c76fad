/// @file Runs one instance that serves callers on the users' platform.
#include <adapter/Adapter.h>
#include <csignal>
#include <cstdlib>
#include <engine/Instance.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <telemetry/Events.h>

DEFINE_string(settings,
              "",
              "The settings file of this instance, JSON with comments. Default: the path in the "
              "environment variable that the platform sets.");
DEFINE_bool(check_settings, false, "Check the settings, print one line per problem, and exit.");
DEFINE_uint32(
  log_lines,
  400,
  "The maximum number of log lines per second; excess lines are counted and dropped. Routine "
  "lines may use at most half of it. 0 disables the limit.");

namespace {

using namespace sapphirewind;

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Parses settings and prints each problem to standard error.
std::optional<engine::Settings>
ParseSettings(const std::string& aPath, const std::string& aText)
{
  document::Problems problems;
  std::optional<engine::Settings> settings = engine::ParseSettings(aText, problems);
  for (const document::Problem& problem : problems) {
    std::cerr << aPath << ": " << document::Describe(problem) << "\n";
  }
  return settings;
}

std::string
SettingsPath()
{
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv(adapter::kSettingsPathVariable);
  return path == nullptr ? "" : path;
}

int
Run(const engine::Settings& aSettings, const std::string& aPath, std::string aText)
{
  auto readChanged =
    [aPath, previousText = std::move(aText)]() mutable -> std::optional<engine::Settings> {
    std::optional<std::string> text = ReadFile(aPath);
    if (!text || *text == previousText) {
      return std::nullopt;
    }
    previousText = *text;
    return ParseSettings(aPath, previousText);
  };
  engine::Instance instance({ .settings = aSettings,
                              .wire = adapter::MakeWireCodec(),
                              .store = adapter::MakeStoreCodec(),
                              .readChangedSettings = readChanged });
  if (std::error_code error = instance.Start()) {
    telemetry::Log(telemetry::Event::CannotStart,
                   { { "listen", aSettings.callerAddress }, { "why", error.message() } });
    telemetry::FlushLog();
    return kExitFailed;
  }
  instance.Run();
  telemetry::Log(telemetry::Event::Stopped, {});
  telemetry::FlushLog();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "runs one instance that serves callers on the platform\n\n  sapphirewind [--settings FILE]");
  gflags::SetVersionString(SAPPHIREWIND_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::string path = SettingsPath();
  if (path.empty()) {
    std::cerr << "sapphirewind: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::cerr << "sapphirewind: cannot read " << path << "\n";
    return kExitUsage;
  }
  std::optional<engine::Settings> settings = ParseSettings(path, *text);
  if (!settings) {
    return kExitUsage;
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  telemetry::OpenLog(telemetry::LogOptions{ .instance = settings->instance,
                                            .file = "-",
                                            .linesPerSecond = FLAGS_log_lines,
                                            .async = true });
  return Run(*settings, path, *text);
}
