#include <boost/test/unit_test.hpp>
#include <directory/InstanceTracker.h>

using namespace sapphirewind;
using namespace sapphirewind::directory;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 1000s };

InstanceEntry
MakeEntry(const std::string& aName, uint64_t aRevision = 1, const std::string& aRegion = "r")
{
  return { .name = aName, .revision = aRevision, .address = "127.0.0.1:1", .region = aRegion };
}

InstanceTracker
MakeTracker(size_t aInstances)
{
  InstanceTracker tracker;
  for (size_t index = 0; index < aInstances; ++index) {
    RecordHeartbeat(tracker, MakeEntry("i" + std::to_string(index)), kStart);
  }
  return tracker;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_instance_tracker)

BOOST_AUTO_TEST_CASE(counts_an_instance_while_its_entry_keeps_changing)
{
  InstanceTracker tracker = MakeTracker(2);
  BOOST_TEST(CountLive(tracker, kStart) == 2U);
  RecordHeartbeat(tracker, MakeEntry("i0", 3), kStart + kMinHeartbeatInterval);
  RecordHeartbeat(tracker, MakeEntry("i1", 1), kStart + kMinHeartbeatInterval);
  BOOST_TEST(CountLive(tracker, kStart + kMinHeartbeatInterval * kMissedHeartbeatLimit) == 1U);
}

BOOST_AUTO_TEST_CASE(extracts_expired_entries_once)
{
  InstanceTracker tracker = MakeTracker(1);
  BOOST_TEST(ExtractExpired(tracker, kStart + kDeadEntryRetention - 1s).empty());
  BOOST_TEST(ExtractExpired(tracker, kStart + kDeadEntryRetention).size() == 1U);
  BOOST_TEST(ExtractExpired(tracker, kStart + kDeadEntryRetention).empty());
}

BOOST_AUTO_TEST_CASE(bounds_the_heartbeat_rate_of_many_instances)
{
  BOOST_TEST((HeartbeatInterval(6) == kMinHeartbeatInterval));
  BOOST_TEST((HeartbeatInterval(6500) == kHeartbeatSpacing * 6500));
}

BOOST_AUTO_TEST_CASE(counts_instances_by_region)
{
  InstanceTracker tracker = MakeTracker(2);
  RecordHeartbeat(tracker, MakeEntry("elsewhere", 1, "other"), kStart);
  auto counts = CountByRegion(tracker, kStart);
  BOOST_TEST(counts["r"] == 2U);
  BOOST_TEST(counts["other"] == 1U);
}

BOOST_AUTO_TEST_SUITE(choosing_mirrors)

BOOST_AUTO_TEST_CASE(selects_none_while_a_region_has_few_instances)
{
  InstanceTracker tracker = MakeTracker(kMaxDirectWatchers);
  BOOST_TEST(ChooseMirrors(tracker, "r", 2, kStart).empty());
}

BOOST_AUTO_TEST_CASE(is_independent_of_the_order_of_heartbeats_and_stays_in_the_region)
{
  InstanceTracker tracker = MakeTracker(12);
  RecordHeartbeat(tracker, MakeEntry("elsewhere", 1, "other"), kStart);
  auto mirrors = ChooseMirrors(tracker, "r", 2, kStart);
  BOOST_TEST(mirrors.size() == 2U);
  InstanceTracker reversed;
  for (size_t index = 12; index > 0; --index) {
    RecordHeartbeat(reversed, MakeEntry("i" + std::to_string(index - 1)), kStart);
  }
  BOOST_TEST((ChooseMirrors(reversed, "r", 2, kStart) == mirrors));
}

BOOST_AUTO_TEST_CASE(replaces_only_a_dead_mirror)
{
  InstanceTracker tracker = MakeTracker(12);
  auto before = ChooseMirrors(tracker, "r", 2, kStart);
  base::Instant later = kStart + kMinHeartbeatInterval * kMissedHeartbeatLimit;
  for (size_t index = 0; index < 12; ++index) {
    std::string name = "i" + std::to_string(index);
    if (name != before[0].name) {
      RecordHeartbeat(tracker, MakeEntry(name, 2), later);
    }
  }
  auto after = ChooseMirrors(tracker, "r", 2, later);
  BOOST_REQUIRE(after.size() == 2U);
  BOOST_TEST(after[0].name == before[1].name);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
