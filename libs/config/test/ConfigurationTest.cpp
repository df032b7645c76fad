#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <config/AlertState.h>
#include <config/Configuration.h>
#include <config/Settings.h>

using namespace sapphirewind;
using namespace sapphirewind::config;
using namespace std::chrono_literals;

namespace {

std::string
WithClass(const std::string& aMembers)
{
  return "{\"classes\": {\"desk\": {\"service\": \"s\", \"rank\": \"urgent\", \"answer_within\": "
         "\"100ms\","
         "\"for_share\": \"99%\", \"least_coverage\": \"100%\"" +
         aMembers + "}}}";
}

bool
ContainsProblem(const document::Problems& aProblems, const std::string& aText)
{
  return std::any_of(aProblems.begin(), aProblems.end(), [&](const document::Problem& aProblem) {
    return document::Describe(aProblem).find(aText) != std::string::npos;
  });
}

}

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(reads_the_targets_of_a_class)
{
  document::Problems problems;
  auto parsed = ParseConfiguration(WithClass(", \"keeps_in_flood\": \"20%\""), problems);
  BOOST_REQUIRE(parsed);
  const RequestClass* desk = parsed->FindClass("desk");
  BOOST_REQUIRE(desk);
  BOOST_TEST((desk->latencyTarget == 100ms));
  BOOST_TEST(desk->guaranteedShare == 0.2);
}

BOOST_AUTO_TEST_SUITE(rejects)

BOOST_AUTO_TEST_CASE(weights_and_addresses)
{
  document::Problems problems;
  BOOST_TEST(
    !ParseConfiguration(WithClass(", \"weight\": 3, \"address\": \"10.0.0.1\""), problems));
  BOOST_TEST(ContainsProblem(problems, "classes.desk.weight: weights cannot be set"));
  BOOST_TEST(ContainsProblem(problems, "classes.desk.address: addresses cannot be set"));
}

BOOST_AUTO_TEST_CASE(unreachable_targets)
{
  document::Problems problems;
  std::string text = WithClass("");
  text.replace(text.find("100ms"), 5, "1ms");
  text.replace(text.find("99%"), 3, "100%");
  BOOST_TEST(!ParseConfiguration(text, problems));
  BOOST_TEST(ContainsProblem(problems, "answer_within: unreachable"));
  BOOST_TEST(ContainsProblem(problems, "for_share: unreachable"));
}

BOOST_AUTO_TEST_CASE(guaranteed_shares_above_the_limit)
{
  document::Problems problems;
  BOOST_TEST(!ParseConfiguration(WithClass(", \"keeps_in_flood\": \"95%\""), problems));
  BOOST_TEST(ContainsProblem(problems, "more than 90%"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(alert_rules)

BOOST_AUTO_TEST_CASE(keep_their_source_text)
{
  std::string error;
  std::string line = "Slow: request_latency_p99_ms{class=\"desk\"} > 120.5 for 30s";
  auto rule = ParseAlertRule(line, error);
  BOOST_REQUIRE(rule);
  BOOST_TEST(rule->line == line);
  BOOST_TEST(rule->threshold == 120.5);
  BOOST_TEST((rule->holdDuration == 30s));
  BOOST_TEST(!ParseAlertRule("Slow: undefined_metric > 1", error));
  BOOST_TEST(error.find("undefined_metric") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(fire_after_their_hold_duration)
{
  std::string error;
  std::vector<AlertRule> rules = { *ParseAlertRule(
    "Low: request_coverage{class=\"desk\"} < 0.9 for 2s", error) };
  std::vector<MetricValue> other = { { "request_coverage", { { "class", "van" } }, 0.1 } };
  std::vector<MetricValue> low = { { "request_coverage", { { "class", "desk" } }, 0.5 } };
  AlertEvaluationState state;
  base::Instant start{};
  BOOST_TEST(!EvaluateAlerts(rules, other, state, start).front().firing);
  BOOST_TEST(!EvaluateAlerts(rules, low, state, start).front().firing);
  BOOST_TEST(!EvaluateAlerts(rules, low, state, start + 1s).front().firing);
  BOOST_TEST(EvaluateAlerts(rules, low, state, start + 2s).front().firing);
  BOOST_TEST(!EvaluateAlerts(rules, {}, state, start + 3s).front().firing);
  BOOST_TEST(!EvaluateAlerts(rules, low, state, start + 4s).front().firing);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(describes_changes)
{
  document::Problems problems;
  auto before = ParseConfiguration(WithClass(""), problems);
  auto after = ParseConfiguration(WithClass(", \"keeps_in_flood\": \"20%\""), problems);
  BOOST_TEST(DescribeChanges(*before, *before).empty());
  BOOST_TEST(DescribeChanges(*before, *after).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(instance_settings)

BOOST_AUTO_TEST_CASE(read_name_location_and_addresses)
{
  document::Problems problems;
  auto settings = ParseSettings("{\"name\":\"i1\",\"region\":\"r1\",\"availability_zone\":\"a\","
                                "\"listen\":\"127.0.0.1:80\",\"platform\":\"127.0.0.1:81\"}",
                                problems);
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings->zone == "a");
}

BOOST_AUTO_TEST_CASE(report_all_problems_together)
{
  document::Problems problems;
  BOOST_TEST(!ParseSettings("{\"name\":\"i1\",\"listen\":\"somewhere\",\"weight\":1}", problems));
  BOOST_TEST(ContainsProblem(problems, "listen: must be an IP address"));
  BOOST_TEST(ContainsProblem(problems, "platform: is missing"));
  BOOST_TEST(ContainsProblem(problems, "weight: unknown key"));
}

BOOST_AUTO_TEST_SUITE_END()
