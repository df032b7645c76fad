#include <boost/test/unit_test.hpp>
#include <cmath>
#include <dispatch/InstanceShare.h>

using namespace sapphirewind;
using namespace sapphirewind::dispatch;

namespace {

/// Instances in the order of their names, each in the region that its number gives.
std::vector<directory::InstanceEntry>
MakeInstances(size_t aCount, size_t aRegions)
{
  std::vector<directory::InstanceEntry> instances;
  for (size_t index = 0; index < aCount; ++index) {
    instances.push_back({ .name = "instance-" + std::to_string(100 + index),
                          .region = "region-" + std::to_string(index % aRegions) });
  }
  return instances;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_arcs_of_instances)

BOOST_AUTO_TEST_CASE(follow_each_other_and_leave_nothing_out)
{
  for (size_t count : { 1, 2, 6, 9, 78 }) {
    for (size_t regions : { 1, 3 }) {
      for (const char* serverRegion : { "region-0", "region-2", "region-without-instances" }) {
        std::vector<directory::InstanceEntry> instances = MakeInstances(count, regions);
        double end = 0.0;
        for (const directory::InstanceEntry& instance : instances) {
          InstanceArc arc = ComputeInstanceArc(instances, instance, serverRegion);
          BOOST_TEST(std::abs(arc.start - end) < 1e-9);
          end = arc.start + arc.length;
        }
        BOOST_TEST(std::abs(end - 1.0) < 1e-9);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(are_longer_in_the_servers_region)
{
  std::vector<directory::InstanceEntry> instances = MakeInstances(9, 3);
  double near = ComputeInstanceArc(instances, instances[0], "region-0").length;
  double far = ComputeInstanceArc(instances, instances[1], "region-0").length;
  BOOST_TEST(near > far);
}

BOOST_AUTO_TEST_CASE(have_a_place_for_an_instance_that_is_not_listed_yet)
{
  std::vector<directory::InstanceEntry> instances = MakeInstances(6, 3);
  directory::InstanceEntry self = instances[3];
  InstanceArc listed = ComputeInstanceArc(instances, self, "region-0");
  instances.erase(instances.begin() + 3);
  BOOST_TEST((ComputeInstanceArc(instances, self, "region-0") == listed));
}

BOOST_AUTO_TEST_SUITE_END()
