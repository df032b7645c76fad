#include <boost/test/unit_test.hpp>
#include <directory/Census.h>

using namespace sapphirewind;
using namespace sapphirewind::directory;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 1000s };

InstanceEntry
Named(const std::string& aName, uint64_t aRevision = 1, const std::string& aRegion = "r")
{
  return { .name = aName, .revision = aRevision, .address = "127.0.0.1:1", .region = aRegion };
}

Census
OfSize(size_t aInstances)
{
  Census census;
  for (size_t index = 0; index < aInstances; ++index) {
    Observe(census, Named("i" + std::to_string(index)), kStart);
  }
  return census;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_census_of_instances)

BOOST_AUTO_TEST_CASE(counts_an_entry_while_it_keeps_changing)
{
  Census census = OfSize(2);
  BOOST_TEST(CountLive(census, kStart) == 2U);
  Observe(census, Named("i0", 3), kStart + kLeastBeatInterval);
  Observe(census, Named("i1", 1), kStart + kLeastBeatInterval);
  BOOST_TEST(CountLive(census, kStart + kLeastBeatInterval * kBeatsToLive) == 1U);
}

BOOST_AUTO_TEST_CASE(hands_out_long_dead_entries_once)
{
  Census census = OfSize(1);
  BOOST_TEST(TakeExpired(census, kStart + kEntryLifetime - 1s).empty());
  BOOST_TEST(TakeExpired(census, kStart + kEntryLifetime).size() == 1U);
  BOOST_TEST(TakeExpired(census, kStart + kEntryLifetime).empty());
}

BOOST_AUTO_TEST_CASE(keeps_the_calls_of_a_large_fleet_within_a_rate)
{
  BOOST_TEST((BeatInterval(6) == kLeastBeatInterval));
  BOOST_TEST((BeatInterval(6500) == kBeatSpacing * 6500));
}

BOOST_AUTO_TEST_CASE(counts_each_region)
{
  Census census = OfSize(2);
  Observe(census, Named("elsewhere", 1, "other"), kStart);
  auto counts = CountByRegion(census, kStart);
  BOOST_TEST(counts["r"] == 2U);
  BOOST_TEST(counts["other"] == 1U);
}

BOOST_AUTO_TEST_SUITE(choosing_mirrors)

BOOST_AUTO_TEST_CASE(needs_none_while_few_live_in_a_region)
{
  Census census = OfSize(kMostDirectFollowers);
  BOOST_TEST(ChooseMirrors(census, "r", 2, kStart).empty());
}

BOOST_AUTO_TEST_CASE(is_the_same_whatever_the_order_of_sightings_and_stays_in_the_region)
{
  Census census = OfSize(12);
  Observe(census, Named("elsewhere", 1, "other"), kStart);
  auto mirrors = ChooseMirrors(census, "r", 2, kStart);
  BOOST_TEST(mirrors.size() == 2U);
  Census reversed;
  for (size_t index = 12; index > 0; --index) {
    Observe(reversed, Named("i" + std::to_string(index - 1)), kStart);
  }
  BOOST_TEST((ChooseMirrors(reversed, "r", 2, kStart) == mirrors));
}

BOOST_AUTO_TEST_CASE(replaces_only_one_that_died)
{
  Census census = OfSize(12);
  auto before = ChooseMirrors(census, "r", 2, kStart);
  base::Instant later = kStart + kLeastBeatInterval * kBeatsToLive;
  for (size_t index = 0; index < 12; ++index) {
    std::string name = "i" + std::to_string(index);
    if (name != before[0].name) {
      Observe(census, Named(name, 2), later);
    }
  }
  auto after = ChooseMirrors(census, "r", 2, later);
  BOOST_REQUIRE(after.size() == 2U);
  BOOST_TEST(after[0].name == before[1].name);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
