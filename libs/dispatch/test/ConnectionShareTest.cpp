#include <boost/test/unit_test.hpp>
#include <dispatch/ConnectionShare.h>

using namespace sapphirewind::dispatch;

namespace {

/// Connections of all instances to one server if each uses its full share.
size_t
TotalConnections(unsigned aLimit, size_t aInRegion, size_t aInstances, bool aRecentlyStarted)
{
  ConnectionShareInput near{ .limit = aLimit,
                             .instancesInRegion = aInRegion,
                             .instances = aInstances,
                             .sameRegion = true,
                             .recentlyStarted = aRecentlyStarted };
  ConnectionShareInput far = near;
  far.sameRegion = false;
  return aInRegion * ComputeConnectionShare(near).maxInUse +
         (aInstances - aInRegion) * ComputeConnectionShare(far).maxInUse;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_share_of_a_servers_connections)

BOOST_AUTO_TEST_CASE(leaves_room_for_stale_idle_connections_after_a_power_loss)
{
  // Limits and instance counts of two deployments; each instance may leave one stale connection.
  BOOST_TEST(TotalConnections(30, 2, 6, true) + 6 <= 30U);
  BOOST_TEST(TotalConnections(26, 3, 9, true) + 9 <= 26U);
  BOOST_TEST(TotalConnections(96, 2, 6, true) + 6 <= 96U);
  BOOST_TEST(TotalConnections(41, 3, 9, true) + 9 <= 41U);
}

BOOST_AUTO_TEST_CASE(stays_within_the_limit_when_all_instances_use_their_full_share)
{
  for (bool recentlyStarted : { true, false }) {
    BOOST_TEST(TotalConnections(30, 2, 6, recentlyStarted) <= 30U);
    BOOST_TEST(TotalConnections(26, 3, 9, recentlyStarted) <= 26U);
    BOOST_TEST(TotalConnections(96, 2, 6, recentlyStarted) <= 96U);
    BOOST_TEST(TotalConnections(41, 3, 9, recentlyStarted) <= 41U);
  }
}

BOOST_AUTO_TEST_CASE(is_larger_in_the_servers_region)
{
  ConnectionShareInput near{
    .limit = 30, .instancesInRegion = 2, .instances = 6, .sameRegion = true
  };
  ConnectionShareInput far = near;
  far.sameRegion = false;
  BOOST_TEST(ComputeConnectionShare(near).maxInUse > ComputeConnectionShare(far).maxInUse);
}

BOOST_AUTO_TEST_CASE(is_at_least_one_and_idle_only_if_one_connection_per_instance_fits)
{
  ConnectionShareInput crowded{
    .limit = 68, .instancesInRegion = 24, .instances = 73, .sameRegion = false
  };
  BOOST_TEST(ComputeConnectionShare(crowded).maxInUse == 1U);
  BOOST_TEST(ComputeConnectionShare(crowded).maxIdle == 0U);
  ConnectionShareInput alone{ .limit = 30 };
  BOOST_TEST(ComputeConnectionShare(alone).maxInUse >= 10U);
  BOOST_TEST(ComputeConnectionShare(alone).maxIdle == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
