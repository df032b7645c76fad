#include <boost/test/unit_test.hpp>
#include <model/Attempt.h>
#include <model/Peer.h>
#include <model/Search.h>

using namespace sapphirewind::model;

BOOST_AUTO_TEST_SUITE(search_results)

BOOST_AUTO_TEST_SUITE(when_merged)

BOOST_AUTO_TEST_CASE(are_ordered_by_score_then_id)
{
  std::vector<Hit> left = { { "b", "s1", 2.0, "" }, { "d", "s1", 1.0, "" } };
  std::vector<Hit> right = { { "a", "s2", 2.0, "" }, { "c", "s2", 1.0, "" } };
  std::vector<Hit> merged = MergeTop(left, right, 3);
  BOOST_REQUIRE(merged.size() == 3U);
  BOOST_TEST(merged[0].id == "a");
  BOOST_TEST(merged[1].id == "b");
  BOOST_TEST(merged[2].id == "c");
}

BOOST_AUTO_TEST_CASE(have_unique_ids_and_do_not_depend_on_the_merge_order)
{
  std::vector<Hit> one = SortTop({ { "x", "s", 1.0, "" }, { "y", "s", 3.0, "" } }, 10);
  std::vector<Hit> two = SortTop({ { "y", "s", 3.0, "" }, { "z", "s", 2.0, "" } }, 10);
  BOOST_TEST((MergeTop(one, two, 10) == MergeTop(two, one, 10)));
  BOOST_TEST(MergeTop(one, two, 10).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(report_coverage_and_missing_shards)
{
  Coverage coverage = ComputeCoverage({ "a", "b", "c" }, { "b", "b", "other" });
  BOOST_TEST(coverage.answered == 1U);
  BOOST_TEST(coverage.total == 3U);
  BOOST_TEST((coverage.missing == std::vector<std::string>{ "a", "c" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstream_responses)

BOOST_AUTO_TEST_CASE(must_match_attempt_request_and_snapshot)
{
  AttemptRequest request{
    .attemptId = "a1", .requestId = "r1", .snapshot = "s2", .shards = { "x" }
  };
  BOOST_TEST(!FindMismatch(
    request, AttemptResponse{ .attemptId = "a1", .requestId = "r1", .snapshot = "s2" }));
  BOOST_TEST(
    FindMismatch(request, AttemptResponse{ .attemptId = "a2", .requestId = "r1", .snapshot = "s2" })
      .has_value());
  BOOST_TEST(
    FindMismatch(request, AttemptResponse{ .attemptId = "a1", .requestId = "r2", .snapshot = "s2" })
      .has_value());
  BOOST_TEST(
    FindMismatch(request, AttemptResponse{ .attemptId = "a1", .requestId = "r1", .snapshot = "s1" })
      .has_value());
}

BOOST_AUTO_TEST_CASE(are_filtered_to_requested_shards)
{
  AttemptRequest request{ .attemptId = "a1", .shards = { "x", "y" } };
  AttemptResponse response{
    .attemptId = "a1",
    .shards = { "x", "moved" },
    .hits = { { "1", "x", 1.0, "" }, { "2", "moved", 2.0, "" }, { "3", "y", 3.0, "" } }
  };
  AttemptResponse filtered = FilterToRequested(request, response);
  BOOST_TEST((filtered.shards == std::vector<std::string>{ "x" }));
  BOOST_REQUIRE(filtered.hits.size() == 1U);
  BOOST_TEST(filtered.hits[0].id == "1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(messages_between_instances)

BOOST_AUTO_TEST_CASE(round_trip_through_json)
{
  ScatterRequest request{
    .requestId = "r",
    .service = "s",
    .snapshot = "s1",
    .query = "q \"\u00e9\"",
    .top = 7,
    .policy = { .className = "c", .rank = Rank::Deferrable, .guaranteedShare = 0.25 },
    .remaining = std::chrono::milliseconds(80),
    .canary = true,
    .groups = { { "g1", { "a", "b" } } }
  };
  BOOST_TEST((ScatterRequestFromJson(ToJson(request)) == request));
  ScatterResponse response{ .groups = { { .group = "g1",
                                          .outcome = Outcome::Ran,
                                          .shards = { "a" },
                                          .error = Errc::CoverageTooLow,
                                          .queueWait = std::chrono::microseconds(12) } },
                            .hits = { { "i", "a", 0.1, "t" } } };
  BOOST_TEST((ScatterResponseFromJson(ToJson(response)) == response));
}

BOOST_AUTO_TEST_CASE(are_rejected_if_malformed_or_of_another_version)
{
  Json::Value other = ToJson(ScatterRequest{ .requestId = "r" });
  other["version"] = kPeerProtocolVersion + 1;
  BOOST_TEST(!ScatterRequestFromJson(other));
  Json::Value wrongType = ToJson(ScatterRequest{ .requestId = "r" });
  wrongType["groups"] = "none";
  BOOST_TEST(!ScatterRequestFromJson(wrongType));
  BOOST_TEST(!ScatterRequestFromJson(Json::Value("text")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(outcomes_of_parts_are_combined)
{
  BOOST_TEST((Combine(Outcome::NotRun, Outcome::NotRun) == Outcome::NotRun));
  BOOST_TEST((Combine(Outcome::NotRun, Outcome::Unknown) == Outcome::Unknown));
  BOOST_TEST((Combine(Outcome::Ran, Outcome::NotRun) == Outcome::Ran));
}
