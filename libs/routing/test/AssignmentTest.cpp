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

BOOST_AUTO_TEST_SUITE(a_services_groups)

BOOST_AUTO_TEST_SUITE(in_a_small_fleet)

BOOST_AUTO_TEST_CASE(have_one_owner_each_and_even_loads)
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

BOOST_AUTO_TEST_CASE(move_little_when_an_instance_leaves)
{
  std::vector<std::string> before = Names("i", 9);
  std::vector<std::string> after(before.begin(), before.end() - 1);
  Assignment old = Assign(before, Names("g", 75), 30);
  Assignment now = Assign(after, Names("g", 75), 30);
  size_t moved = 0;
  for (const std::string& group : Names("g", 75)) {
    moved += old.RouteOf(group)->owners != now.RouteOf(group)->owners ? 1 : 0;
  }
  // The leaver's own share is a ninth; bounded load moves a few more.
  BOOST_TEST(moved <= 75U / 9 * 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_large_fleet)

BOOST_AUTO_TEST_CASE(cost_ten_messages_and_fit_the_connections)
{
  BundlePlan plan =
    PlanBundles(PlanInput{ .instances = 240, .groups = 390, .connectionLimit = 30 });
  BOOST_TEST(plan.bundles == 10U);
  BOOST_TEST(plan.sharers == 24U);
}

BOOST_AUTO_TEST_CASE(are_cut_finer_when_the_sharers_would_not_fit)
{
  BundlePlan plan =
    PlanBundles(PlanInput{ .instances = 240, .groups = 390, .connectionLimit = 10 });
  BOOST_TEST(plan.sharers == 9U);
  BOOST_TEST(plan.bundles * plan.sharers >= 240U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(do_not_depend_on_the_order_of_names)
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
