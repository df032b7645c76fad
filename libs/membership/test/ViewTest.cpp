#include <boost/test/unit_test.hpp>
#include <membership/View.h>

using namespace sapphirewind;
using namespace sapphirewind::membership;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 100s };

Member
MakeMember(const std::string& aName, int64_t aIncarnation, MemberState aState = MemberState::Alive)
{
  return Member{ .name = aName,
                 .address = "127.0.0.1:1",
                 .region = "r1",
                 .zone = "r1a",
                 .incarnation = aIncarnation,
                 .state = aState };
}

View
ViewOf(const std::string& aSelf, const std::vector<std::string>& aOthers)
{
  View view;
  view.self = MakeMember(aSelf, 10);
  for (const std::string& name : aOthers) {
    OnMessageFrom(view, MakeMember(name, 10), kStart);
  }
  return view;
}

}

BOOST_AUTO_TEST_SUITE(a_membership_view)

BOOST_AUTO_TEST_SUITE(of_an_unresponsive_member)

BOOST_AUTO_TEST_CASE(marks_it_suspect_then_dead_then_removes_it)
{
  View view = ViewOf("a", { "b" });
  Timing timing;
  OnProbeFailed(view, "b", kStart);
  BOOST_TEST((ServingInstances(view, "r1") == std::vector<std::string>{ "a", "b" }));
  BOOST_TEST(Expire(view, timing, kStart + timing.suspicionTimeout - 1ms).empty());
  BOOST_TEST(Expire(view, timing, kStart + timing.suspicionTimeout).size() == 1U);
  BOOST_TEST((ServingInstances(view, "r1") == std::vector<std::string>{ "a" }));
  Expire(view, timing, kStart + timing.suspicionTimeout + timing.removalDelay);
  BOOST_TEST(view.others.empty());
}

BOOST_AUTO_TEST_CASE(clears_the_suspicion_on_a_direct_message)
{
  View view = ViewOf("a", { "b" });
  OnProbeFailed(view, "b", kStart);
  OnMessageFrom(view, MakeMember("b", 10), kStart);
  BOOST_TEST((view.others["b"].member.state == MemberState::Alive));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(merging_gossip_updates)

BOOST_AUTO_TEST_CASE(prefers_the_higher_incarnation_then_the_later_state)
{
  View view = ViewOf("a", { "b" });
  MergeGossipUpdates(view, { MakeMember("b", 9, MemberState::Dead) }, kStart);
  BOOST_TEST((view.others["b"].member.state == MemberState::Alive));
  MergeGossipUpdates(view, { MakeMember("b", 10, MemberState::Leaving) }, kStart);
  BOOST_TEST((view.others["b"].member.state == MemberState::Leaving));
  MergeGossipUpdates(view, { MakeMember("b", 10) }, kStart);
  BOOST_TEST((view.others["b"].member.state == MemberState::Leaving));
  MergeGossipUpdates(view, { MakeMember("b", 11) }, kStart);
  BOOST_TEST((view.others["b"].member.state == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(refutes_suspicion_of_itself)
{
  View view = ViewOf("a", { "b" });
  MergeGossipUpdates(view, { MakeMember("a", 10, MemberState::Suspect) }, kStart);
  BOOST_TEST(view.self.incarnation == 11);
  MergeGossipUpdates(view, { MakeMember("a", 5, MemberState::Dead) }, kStart);
  BOOST_TEST(view.self.incarnation == 11);
}

BOOST_AUTO_TEST_CASE(sends_a_member_its_own_record_until_it_is_refuted)
{
  View view = ViewOf("a", { "b" });
  OnProbeFailed(view, "b", kStart);
  Expire(view, Timing{}, kStart + 10s);
  for (int round = 0; round < 100; ++round) {
    BOOST_TEST(TakeGossipUpdates(view, "b", 8).front().name == "b");
  }
  MergeGossipUpdates(view, { MakeMember("b", 11) }, kStart);
  TakeGossipUpdates(view, "b", 8);
  BOOST_TEST((view.others["b"].member.state == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(sends_each_update_a_bounded_number_of_times)
{
  View view = ViewOf("a", { "b", "c" });
  size_t sent = 0;
  for (int round = 0; round < 100; ++round) {
    sent += TakeGossipUpdates(view, "", 8).size();
  }
  BOOST_TEST(sent > 2U);
  BOOST_TEST(sent <= 2U * 8U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(adds_instances_listed_by_the_platform_and_removes_none)
{
  View view = ViewOf("a", { "b" });
  ApplyPlatformList(
    view,
    { model::InstanceRecord{ .name = "c", .address = "x", .region = "r1", .zone = "r1a" } },
    kStart);
  BOOST_TEST((ServingInstances(view, "r1") == std::vector<std::string>{ "a", "b", "c" }));
}

BOOST_AUTO_TEST_CASE(has_a_bounded_number_of_watchers_per_zone)
{
  size_t watchers = 0;
  std::vector<std::string> names;
  for (int index = 0; index < 20; ++index) {
    names.push_back("m" + std::to_string(index));
  }
  for (const std::string& name : names) {
    std::vector<std::string> others;
    for (const std::string& other : names) {
      if (other != name) {
        others.push_back(other);
      }
    }
    watchers += IsWatcher(ViewOf(name, others), 2) ? 1 : 0;
  }
  BOOST_TEST(watchers == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
