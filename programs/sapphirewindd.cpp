/// @file The daemon of the query tier. One process runs one instance.
#include <csignal>
#include <cstdio>
#include <document/Document.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <pthread.h>
#include <sstream>
#include <telemetry/Events.h>
#include <tier/Instance.h>

DEFINE_string(settings, "", "The settings file of this instance, JSON with comments.");
DEFINE_bool(check, false, "Check the settings and exit.");
DEFINE_bool(debug, false, "Also log events of level Debug.");

namespace {

using namespace sapphirewind;

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

std::optional<config::Settings>
ReadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << "sapphirewindd: cannot read " << aPath << "\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  document::Problems problems;
  std::optional<config::Settings> settings = config::ParseSettings(text.str(), problems);
  for (const document::Problem& problem : problems) {
    std::cerr << aPath << ": " << document::Describe(problem) << "\n";
  }
  return settings;
}

/// Waits for a stop signal. The signals are blocked in all threads, so that only this call receives
/// them.
void
WaitForStopSignal(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

int
Run(const config::Settings& aSettings, const sigset_t& aSignals)
{
  tier::Instance instance(aSettings);
  if (std::error_code error = instance.Start()) {
    telemetry::Log(telemetry::Event::CannotStart,
                   { { "listen", aSettings.listen }, { "why", error.message() } });
    std::cerr << "sapphirewindd: " << aSettings.listen << ": " << error.message() << "\n";
    return kExitFailed;
  }
  WaitForStopSignal(aSignals);
  bool drained = instance.Stop();
  telemetry::Log(telemetry::Event::Stopped, {});
  telemetry::FlushLog();
  return drained ? 0 : kExitFailed;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("runs one instance of the query tier\n\n"
                          "  sapphirewindd --settings FILE");
  gflags::SetVersionString(SAPPHIREWIND_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_settings.empty()) {
    std::cerr << "sapphirewindd: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  std::optional<config::Settings> settings = ReadSettings(FLAGS_settings);
  if (!settings) {
    return kExitUsage;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  telemetry::OpenLog(telemetry::LogOptions{ .instance = settings->name,
                                            .file = settings->logFile,
                                            .minLevel = FLAGS_debug ? telemetry::Level::Debug
                                                                    : telemetry::Level::Info });
  return Run(*settings, signals);
}
