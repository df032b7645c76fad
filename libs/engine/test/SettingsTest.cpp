#include <boost/test/unit_test.hpp>
#include <engine/Settings.h>

using namespace sapphirewind;

namespace {

std::string
SettingsText(const std::string& aFrom = "", const std::string& aTo = "")
{
  std::string text = R"({
  // A comment.
  "instance": "i", "zone": "a", "regions": { "a": "r" },
  "listen_callers": "127.0.0.1:1", "listen_status": "127.0.0.1:2",
  "listen_metrics": "127.0.0.1:3", "listen_peers": "127.0.0.1:4", "store": "127.0.0.1:5",
  "max_descriptors": 4100, "extra_share": 0.2, "extra_minimum": 52, "extra_window": "10s",
  "stability_window": "5000ms", "drain": "4000ms", "stop_within": "6s"
})";
  return aFrom.empty() ? text : text.replace(text.find(aFrom), aFrom.size(), aTo);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_settings_of_an_instance)

BOOST_AUTO_TEST_CASE(are_parsed_completely)
{
  document::Problems problems;
  auto settings = engine::ParseSettings(SettingsText(), problems);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->regions.at("a") == "r");
  BOOST_TEST((settings->drain == std::chrono::seconds(4)));
  BOOST_TEST((settings->watchWait < std::chrono::seconds(5)));
  BOOST_TEST(settings->extraMinimum == 52.0);
}

BOOST_AUTO_TEST_CASE(are_rejected_with_the_path_of_each_problem)
{
  struct Case
  {
    const char* from;
    const char* to;
    const char* path;
  };
  for (const Case& invalid : { Case{ "\"zone\": \"a\"", "\"zone\": \"\"", "zone" },
                               Case{ "127.0.0.1:5", "nowhere", "store" },
                               Case{ "0.2", "1.5", "extra_share" },
                               Case{ "4100", "\"many\"", "max_descriptors" },
                               Case{ "\"6s\"", "6", "stop_within" },
                               Case{ "\"instance\"", "\"instances\"", "instance" } }) {
    document::Problems problems;
    BOOST_TEST(
      !engine::ParseSettings(SettingsText(invalid.from, invalid.to), problems).has_value());
    BOOST_REQUIRE(!problems.empty());
    BOOST_TEST(document::Describe(problems[0]).find(invalid.path) != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
