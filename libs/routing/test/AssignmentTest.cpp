#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <routing/Assignment.h>

using namespace sapphirewind::routing;

namespace {

std::vector<std::string>
Names(const std::string& aPrefix, size_t aCount)
{
  std::vector<std::string> names;
  for (size_t index = 0; index < aCount; ++index) {
    names.push_back(aPrefix + std::to_string(index));
  }
  return names;
}

}

BOOST_AUTO_TEST_SUITE(group_assignment)

BOOST_AUTO_TEST_SUITE(with_few_instances)

BOOST_AUTO_TEST_CASE(gives_each_group_one_owner_and_balances_loads)
{
  Assignment assignment = Assign(Names("i", 6), Names("g", 25), 30);
  BOOST_TEST((assignment.Plan() == BundlePlan{ .bundles = 6, .sharers = 1 }));
  std::map<std::string, size_t> load;
  for (const std::string& group : Names("g", 25)) {
    const GroupRoute* route = assignment.RouteOf(group);
    BOOST_REQUIRE(route);
    BOOST_TEST(route->owners.size() == 1U);
    BOOST_TEST(route->standbys.size() == 2U);
    ++load[route->owners.front()];
  }
  for (const auto& [name, groups] : load) {
    BOOST_TEST(groups <= 6U);
  }
}

BOOST_AUTO_TEST_CASE(moves_few_groups_when_an_instance_leaves)
{
  std::vector<std::string> before = Names("i", 9);
  std::vector<std::string> after(before.begin(), before.end() - 1);
  Assignment old = Assign(before, Names("g", 75), 30);
  Assignment now = Assign(after, Names("g", 75), 30);
  size_t moved = 0;
  for (const std::string& group : Names("g", 75)) {
    moved += old.RouteOf(group)->owners != now.RouteOf(group)->owners ? 1 : 0;
  }
  // The removed instance owned about one ninth; the load bound moves some further groups.
  BOOST_TEST(moved <= 75U / 9 * 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_many_instances)

BOOST_AUTO_TEST_CASE(uses_ten_bundles_within_the_connection_limit)
{
  BundlePlan plan =
    PlanBundles(PlanInput{ .instances = 240, .groups = 390, .connectionLimit = 30 });
  BOOST_TEST(plan.bundles == 10U);
  BOOST_TEST(plan.sharers == 24U);
}

BOOST_AUTO_TEST_CASE(adds_bundles_when_sharers_exceed_the_connection_limit)
{
  BundlePlan plan =
    PlanBundles(PlanInput{ .instances = 240, .groups = 390, .connectionLimit = 10 });
  BOOST_TEST(plan.sharers == 9U);
  BOOST_TEST(plan.bundles * plan.sharers >= 240U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(does_not_depend_on_the_order_of_names)
{
  std::vector<std::string> instances = Names("i", 7);
  std::vector<std::string> groups = Names("g", 40);
  Assignment one = Assign(instances, groups, 30);
  std::reverse(instances.begin(), instances.end());
  std::reverse(groups.begin(), groups.end());
  Assignment two = Assign(instances, groups, 30);
  for (const std::string& group : groups) {
    BOOST_TEST((one.RouteOf(group)->owners == two.RouteOf(group)->owners));
  }
}

BOOST_AUTO_TEST_SUITE_END()
