#include <algorithm>
#include <base/Random.h>
#include <boost/test/unit_test.hpp>
#include <dispatch/Gather.h>
#include <dispatch/Split.h>

using namespace sapphirewind;
using namespace sapphirewind::dispatch;
using namespace std::chrono_literals;

namespace {

const base::Instant kNow{ 100s };

std::string
Record(unsigned char aFirst)
{
  std::string record(kRecordBytes, 'x');
  record[0] = static_cast<char>(aFirst);
  return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(merging_parts)

BOOST_AUTO_TEST_CASE(takes_the_greatest_records_by_unsigned_bytes_and_keeps_equal_ones)
{
  std::string first = Record(1) + Record(200) + Record(3);
  std::string second = Record(200) + Record(127);
  std::string merged = MergeTopRecords({ first, second }, 3);
  BOOST_TEST((merged == Record(200) + Record(200) + Record(127)));
}

BOOST_AUTO_TEST_CASE(ignores_an_incomplete_record_at_the_end)
{
  std::string part = Record(9) + "zzz";
  BOOST_TEST((MergeTopRecords({ part }, 5) == Record(9)));
  BOOST_TEST(MergeTopRecords({ "short" }, 5).empty());
  BOOST_TEST(MergeTopRecords({}, 5).empty());
}

BOOST_AUTO_TEST_CASE(agrees_with_a_full_sort)
{
  base::Random random(42);
  for (int round = 0; round < 50; ++round) {
    std::vector<std::string> parts(1 + base::UniformIndex(random, 6));
    std::vector<std::string> all;
    for (std::string& part : parts) {
      for (size_t count = base::UniformIndex(random, 20); count > 0; --count) {
        std::string record = base::ToHex(random()).substr(0, kRecordBytes);
        all.push_back(record);
        part += record;
      }
    }
    std::sort(all.rbegin(), all.rend());
    size_t wanted = base::UniformIndex(random, 15);
    std::string expected;
    for (size_t index = 0; index < std::min(wanted, all.size()); ++index) {
      expected += all[index];
    }
    std::vector<std::string_view> views(parts.begin(), parts.end());
    BOOST_TEST((MergeTopRecords(views, wanted) == expected));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_coverage_of_a_query)

BOOST_AUTO_TEST_CASE(requires_the_configured_fraction_rounded_up)
{
  BOOST_TEST(MinParts(10, 0.89) == 9U);
  BOOST_TEST(MinParts(10, 0.9) == 9U);
  BOOST_TEST(MinParts(15, 0.75) == 12U);
  BOOST_TEST(MinParts(10, 0.0) == 1U);
  BOOST_TEST(MinParts(10, 1.0) == 10U);
}

BOOST_AUTO_TEST_CASE(is_answered_at_once_when_complete)
{
  GatherState whole{ .shards = 10, .parts = 10, .pending = 0, .minParts = 9 };
  BOOST_TEST((NextGatherStep(whole, kNow + 1s, kNow) == GatherStep::Answer));
}

BOOST_AUTO_TEST_CASE(waits_for_further_parts_until_the_answer_deadline)
{
  GatherState nearly{ .shards = 10, .parts = 9, .pending = 1, .minParts = 9 };
  BOOST_TEST((NextGatherStep(nearly, kNow + 1ms, kNow) == GatherStep::Wait));
  BOOST_TEST((NextGatherStep(nearly, kNow, kNow) == GatherStep::Answer));
}

BOOST_AUTO_TEST_CASE(is_answered_partially_at_once_when_no_further_part_can_arrive)
{
  GatherState settled{ .shards = 10, .parts = 9, .pending = 0, .minParts = 9 };
  BOOST_TEST((NextGatherStep(settled, kNow + 1s, kNow) == GatherStep::Answer));
}

BOOST_AUTO_TEST_CASE(fails_once_the_minimum_can_no_longer_be_reached)
{
  GatherState lost{ .shards = 10, .parts = 5, .pending = 3, .minParts = 9 };
  BOOST_TEST((NextGatherStep(lost, kNow + 1s, kNow) == GatherStep::GiveUp));
  GatherState possible{ .shards = 10, .parts = 5, .pending = 4, .minParts = 9 };
  BOOST_TEST((NextGatherStep(possible, kNow - 1s, kNow) == GatherStep::Wait));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_hedged_request)

BOOST_AUTO_TEST_CASE(waits_until_the_first_attempt_is_overdue)
{
  base::Duration delay =
    HedgeDelay({ .expectedFirst = 16ms, .expectedSecond = 55ms, .untilAnswer = 1000ms });
  BOOST_TEST((delay >= 32ms));
}

BOOST_AUTO_TEST_CASE(is_sent_early_enough_to_arrive_in_time)
{
  base::Duration delay =
    HedgeDelay({ .expectedFirst = 16ms, .expectedSecond = 20ms, .untilAnswer = 60ms });
  BOOST_TEST((delay + 20ms < 60ms));
  BOOST_TEST((delay > 16ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_split_route)

BOOST_AUTO_TEST_CASE(follows_its_weights_over_every_short_sequence)
{
  std::vector<directory::WeightedService> parts = { { "a", 70 }, { "b", 20 }, { "c", 10 } };
  SplitState state;
  std::map<std::string, int> counts;
  for (int request = 1; request <= 1000; ++request) {
    ++counts[NextDestination(state, parts)];
    BOOST_TEST(std::abs(counts["a"] - 0.7 * request) <= 1.5);
    BOOST_TEST(std::abs(counts["c"] - 0.1 * request) <= 1.5);
  }
}

BOOST_AUTO_TEST_SUITE_END()
