/// Runs one scenario file with instances as separate processes.
#include "Steps.h"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace sapphirewind;

namespace {

std::string
EnvironmentVariable(const char* aName)
{
  const char* value = std::getenv(aName);
  return value ? value : "";
}

std::string
ReadAll(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(scenario)

BOOST_AUTO_TEST_CASE(runs_script)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::string path = EnvironmentVariable("SCENARIO_FILE");
  std::string error;
  std::optional<std::vector<test::Step>> steps = test::ParseScript(ReadAll(path), error);
  BOOST_REQUIRE_MESSAGE(steps && !steps->empty(), path + ": " + error);
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() / ("scenario-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  {
    test::ScenarioFixture fixture(test::FixtureOptions{
      .daemon = EnvironmentVariable("SCENARIO_DAEMON"),
      .folder = folder.string(),
      .configurations = std::filesystem::path(path).parent_path().string(),
      .firstPort = static_cast<uint16_t>(std::stoul(EnvironmentVariable("SCENARIO_PORT"))) });
    test::StepDefinitions definitions;
    test::AddActions(definitions, fixture);
    test::AddExpectations(definitions, fixture);
    try {
      test::RunScript(*steps, definitions);
    } catch (const test::StepFailed& failure) {
      BOOST_ERROR(failure.what());
      for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".log") {
          std::cout << "---- " << entry.path().filename().string() << "\n"
                    << ReadAll(entry.path().string());
        }
      }
    }
  }
  std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()
