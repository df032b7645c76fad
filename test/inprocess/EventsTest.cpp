#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <telemetry/Events.h>

using namespace sapphirewind;

namespace {

std::string
ReadAll(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

const std::filesystem::path kRoot = SOURCE_ROOT;

}

BOOST_AUTO_TEST_SUITE(the_catalogue_of_events)

BOOST_AUTO_TEST_CASE(lists_exactly_the_defined_events)
{
  std::string catalogue = ReadAll(kRoot / "docs" / "EVENTS.md");
  std::regex row("\\| E(\\d{4}) \\| (\\w+) \\|");
  std::set<std::string> documented;
  for (std::sregex_iterator match(catalogue.begin(), catalogue.end(), row);
       match != std::sregex_iterator();
       ++match) {
    documented.insert((*match)[1].str() + " " + (*match)[2].str());
  }
  std::set<std::string> defined;
  for (const telemetry::EventInfo& info : telemetry::AllEvents()) {
    std::string number = std::to_string(static_cast<int>(info.event));
    defined.insert(std::string(4 - number.size(), '0') + number + " " + info.name);
  }
  BOOST_TEST(documented == defined, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(lists_only_events_that_are_logged)
{
  std::string code;
  for (const char* folder : { "libs", "programs" }) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(kRoot / folder)) {
      bool source = entry.path().extension() == ".cpp" && entry.path().filename() != "Events.cpp";
      code += source ? ReadAll(entry.path()) : "";
    }
  }
  for (const telemetry::EventInfo& info : telemetry::AllEvents()) {
    std::string name = std::string("Event::") + info.name;
    BOOST_TEST(code.find(name) != std::string::npos, info.name << " is never logged");
  }
}

BOOST_AUTO_TEST_SUITE_END()
