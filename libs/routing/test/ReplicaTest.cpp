#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <routing/Hedge.h>
#include <routing/Replica.h>
#include <routing/SnapshotChoice.h>

using namespace sapphirewind;
using namespace sapphirewind::routing;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 100s };

std::vector<Replica>
MakeThreeReplicas()
{
  std::vector<Replica> replicas(3);
  for (size_t index = 0; index < replicas.size(); ++index) {
    replicas[index].name = "r" + std::to_string(index);
    replicas[index].maxInFlight = 2;
    replicas[index].limit = 2;
  }
  return replicas;
}

void
AddResponses(Replica& aReplica, base::Duration aLatency, size_t aTimes)
{
  for (size_t repeat = 0; repeat < aTimes; ++repeat) {
    OnSent(aReplica);
    OnAnswered(aReplica, aLatency, kStart);
  }
}

}

BOOST_AUTO_TEST_SUITE(a_replica)

BOOST_AUTO_TEST_SUITE(selection)

BOOST_AUTO_TEST_CASE(prefers_the_least_loaded_server)
{
  base::Random random(1);
  std::vector<Replica> replicas = MakeThreeReplicas();
  replicas[0].inFlight = 1;
  replicas[2].inFlight = 1;
  BOOST_TEST(*PickReplica(replicas, {}, kStart, random) == 1U);
}

BOOST_AUTO_TEST_CASE(avoids_tried_servers_while_others_are_available)
{
  base::Random random(1);
  std::vector<Replica> replicas = MakeThreeReplicas();
  replicas[1].leaving = true;
  BOOST_TEST(*PickReplica(replicas, { "r0" }, kStart, random) == 2U);
  replicas[2].leaving = true;
  BOOST_TEST(*PickReplica(replicas, { "r0" }, kStart, random) == 0U);
}

BOOST_AUTO_TEST_CASE(skips_leaving_servers_and_waits_while_all_are_at_their_limit)
{
  base::Random random(1);
  std::vector<Replica> replicas = MakeThreeReplicas();
  for (Replica& replica : replicas) {
    replica.inFlight = 2;
  }
  BOOST_TEST(!PickReplica(replicas, {}, kStart, random));
  replicas[0].inFlight = 0;
  replicas[0].leaving = true;
  BOOST_TEST(!PickReplica(replicas, {}, kStart, random));
}

BOOST_AUTO_TEST_CASE(uses_another_region_only_when_no_local_server_is_available)
{
  base::Random random(1);
  std::vector<Replica> replicas = MakeThreeReplicas();
  replicas[2].local = false;
  replicas[0].inFlight = 2;
  replicas[1].inFlight = 2;
  BOOST_TEST(!PickReplica(replicas, {}, kStart, random));
  replicas[0].leaving = true;
  replicas[1].ejectedUntil = kStart + 1s;
  BOOST_TEST(*PickReplica(replicas, {}, kStart, random) == 2U);
}

BOOST_AUTO_TEST_CASE(reported_load_raises_the_cost_and_never_lowers_it)
{
  Replica replica = MakeThreeReplicas().front();
  double unloadedCost = Cost(replica, kStart);
  OnLoadReport(replica, 0.0, kStart);
  BOOST_TEST(Cost(replica, kStart) == unloadedCost);
  OnLoadReport(replica, 3.0, kStart);
  BOOST_TEST(Cost(replica, kStart) > unloadedCost);
  BOOST_TEST(Cost(replica, kStart + kLoadReportLifetime) == unloadedCost);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(outlier_ejection)

BOOST_AUTO_TEST_CASE(ejects_a_server_far_slower_than_the_others)
{
  std::vector<Replica> replicas = MakeThreeReplicas();
  AddResponses(replicas[0], 10ms, 20);
  AddResponses(replicas[1], 100ms, 20);
  AddResponses(replicas[2], 10ms, 20);
  BOOST_TEST((EjectOutliers(replicas, kStart) == std::vector<size_t>{ 1 }));
  BOOST_TEST(!IsAvailable(replicas[1], kStart));
}

BOOST_AUTO_TEST_CASE(ejects_a_server_whose_attempts_are_all_abandoned)
{
  std::vector<Replica> replicas = MakeThreeReplicas();
  AddResponses(replicas[0], 10ms, 20);
  AddResponses(replicas[2], 10ms, 20);
  for (int repeat = 0; repeat < 20; ++repeat) {
    OnSent(replicas[1]);
    OnAbandoned(replicas[1], 100ms);
  }
  BOOST_TEST((EjectOutliers(replicas, kStart) == std::vector<size_t>{ 1 }));
}

BOOST_AUTO_TEST_CASE(does_not_eject_for_the_variance_of_a_skewed_distribution)
{
  // Guards against ejections by chance: 36 servers in 12 groups whose latencies have the same
  // lognormal distribution.
  base::Random random(5);
  std::lognormal_distribution<double> millis(std::log(20.0) - 0.18, 0.6);
  size_t ejections = 0;
  for (int group = 0; group < 12; ++group) {
    std::vector<Replica> replicas = MakeThreeReplicas();
    for (int sample = 0; sample < 3000; ++sample) {
      Replica& replica = replicas[base::UniformIndex(random, 3)];
      OnSent(replica);
      OnAnswered(replica, base::FromFractionalMillis(millis(random)), kStart);
      ejections += EjectOutliers(replicas, kStart).size();
    }
  }
  BOOST_TEST(ejections == 0U);
}

BOOST_AUTO_TEST_CASE(ejects_at_most_half_of_the_servers)
{
  std::vector<Replica> replicas = MakeThreeReplicas();
  for (Replica& replica : replicas) {
    OnSent(replica);
    OnFailed(replica, FailureKind::ConnectFailed, kStart);
  }
  BOOST_TEST(EjectOutliers(replicas, kStart).size() == 1U);
  BOOST_TEST(EjectOutliers(replicas, kStart).empty());
}

BOOST_AUTO_TEST_CASE(puts_a_server_into_slow_start_after_the_ejection)
{
  std::vector<Replica> replicas = MakeThreeReplicas();
  replicas[0].maxInFlight = 9;
  replicas[0].limit = 9;
  OnSent(replicas[0]);
  OnFailed(replicas[0], FailureKind::ConnectFailed, kStart);
  EjectOutliers(replicas, kStart);
  base::Instant ejectionEnd = replicas[0].ejectedUntil;
  BOOST_TEST(IsAvailable(replicas[0], ejectionEnd));
  BOOST_TEST(EffectiveLimit(replicas[0], ejectionEnd) == 1U);
  BOOST_TEST(EffectiveLimit(replicas[0], ejectionEnd + kSlowStart / 2) == 5U);
  BOOST_TEST(EffectiveLimit(replicas[0], ejectionEnd + kSlowStart) == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(backs_off_longer_after_each_overload_rejection)
{
  base::Random random(1);
  Replica replica = MakeThreeReplicas().front();
  OnSent(replica);
  OnShed(replica, kStart, random);
  base::Duration first = replica.backoffUntil - kStart;
  for (int repeat = 0; repeat < 4; ++repeat) {
    OnSent(replica);
    OnShed(replica, kStart, random);
  }
  BOOST_TEST(((replica.backoffUntil - kStart) > first));
  BOOST_TEST(EffectiveLimit(replica, kStart) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_extra_attempt)

BOOST_AUTO_TEST_CASE(is_due_after_the_hedge_delay_and_never_under_overload)
{
  HedgeInput input{
    .sentAt = kStart, .deadline = kStart + 100ms, .delay = 20ms, .budgetLeft = true
  };
  BOOST_TEST(!HedgeIsDue(input, kStart + 19ms));
  BOOST_TEST(HedgeIsDue(input, kStart + 20ms));
  BOOST_TEST(!HedgeIsDue(input, kStart + 100ms));
  input.queueNotEmpty = true;
  BOOST_TEST(!HedgeIsDue(input, kStart + 20ms));
}

BOOST_AUTO_TEST_CASE(is_limited_by_the_budget)
{
  AttemptBudget budget{ .share = kHedgeShare };
  size_t withdrawn = 0;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    Deposit(budget);
    withdrawn += TryWithdraw(budget) ? 1 : 0;
  }
  BOOST_TEST(withdrawn <= 30U);
  BOOST_TEST(withdrawn >= 28U);
}

BOOST_AUTO_TEST_CASE(has_a_delay_equal_to_a_quantile_of_recent_latencies)
{
  LatencyWindow window(0.9);
  BOOST_TEST(window.Value().count() == 0);
  for (int millis = 1; millis <= 100; ++millis) {
    window.Add(std::chrono::milliseconds((millis * 37) % 100 + 1));
  }
  BOOST_TEST(base::ToMillis(window.Value()) >= 80);
  BOOST_TEST(base::ToMillis(window.Value()) <= 97);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_pinned_snapshot)

BOOST_AUTO_TEST_CASE(is_the_newest_confirmed_at_every_group)
{
  model::ServiceIndex index{ .service = "s", .snapshots = { { "s1", 1, {} }, { "s2", 2, {} } } };
  SnapshotReadiness readiness;
  BOOST_TEST(PickSnapshot(index, readiness, kStart)->id == "s2");
  RecordReady(readiness, "s1", kStart);
  BOOST_TEST(PickSnapshot(index, readiness, kStart)->id == "s1");
  RecordReady(readiness, "s2", kStart);
  BOOST_TEST(PickSnapshot(index, readiness, kStart)->id == "s2");
  RecordMissing(readiness, "s2", kStart);
  BOOST_TEST(PickSnapshot(index, readiness, kStart)->id == "s1");
  index.snapshots.erase(index.snapshots.begin());
  EraseUnlisted(readiness, index);
  BOOST_TEST(PickSnapshot(index, readiness, kStart)->id == "s2");
  index.snapshots.clear();
  BOOST_TEST(PickSnapshot(index, readiness, kStart) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
