#include <admission/ConcurrencyLimit.h>
#include <admission/RankQueue.h>
#include <boost/test/unit_test.hpp>

using namespace sapphirewind;
using namespace sapphirewind::admission;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 100s };
const model::ClassPolicy kUrgent{ .className = "urgent",
                                  .rank = model::Rank::Urgent,
                                  .guaranteedShare = 0.0 };
const model::ClassPolicy kEveryday{ .className = "everyday",
                                    .rank = model::Rank::Everyday,
                                    .guaranteedShare = 0.2 };
const model::ClassPolicy kNightly{ .className = "nightly",
                                   .rank = model::Rank::Deferrable,
                                   .guaranteedShare = 0.05 };

/// Serves a queue in which all classes are always backlogged. Returns the served count per class.
std::map<std::string, size_t>
ServeBackloggedClasses(size_t aTimes)
{
  RankQueue queue;
  uint64_t id = 0;
  std::map<std::string, size_t> served;
  base::Instant now = kStart;
  for (size_t time = 0; time < aTimes; ++time) {
    for (const model::ClassPolicy& service : { kUrgent, kEveryday, kNightly }) {
      queue.Push(WorkItem{ .id = ++id, .policy = service, .arrived = now, .deadline = now + 1h });
    }
    ++served[queue.Pop(now)->policy.className];
    now += 1ms;
  }
  return served;
}

}

BOOST_AUTO_TEST_SUITE(queued_work)

BOOST_AUTO_TEST_CASE(is_served_by_rank_then_by_deadline)
{
  RankQueue queue;
  model::ClassPolicy everyday = kEveryday;
  everyday.guaranteedShare = 0.0;
  queue.Push(WorkItem{ .id = 1, .policy = everyday, .deadline = kStart + 1s });
  queue.Push(WorkItem{ .id = 2, .policy = kUrgent, .deadline = kStart + 9s });
  queue.Push(WorkItem{ .id = 3, .policy = kUrgent, .deadline = kStart + 8s });
  BOOST_TEST(queue.Pop(kStart)->id == 3U);
  BOOST_TEST(queue.Pop(kStart)->id == 2U);
  BOOST_TEST(queue.Pop(kStart)->id == 1U);
  BOOST_TEST(!queue.Pop(kStart));
}

BOOST_AUTO_TEST_SUITE(under_overload_by_urgent_work)

BOOST_AUTO_TEST_CASE(each_class_gets_its_guaranteed_share)
{
  std::map<std::string, size_t> served = ServeBackloggedClasses(10'000);
  BOOST_TEST(static_cast<double>(served["everyday"]) >= 0.2 * 10'000 * 0.98);
  BOOST_TEST(static_cast<double>(served["nightly"]) >= 0.05 * 10'000 * 0.98);
  BOOST_TEST(static_cast<double>(served["urgent"]) >= 0.74 * 10'000);
}

BOOST_AUTO_TEST_CASE(is_evicted_from_the_lowest_rank_when_full)
{
  RankQueue queue;
  queue.Push(WorkItem{ .id = 1, .policy = kNightly, .deadline = kStart + 1s });
  queue.Push(WorkItem{ .id = 2, .policy = kNightly, .deadline = kStart + 5s });
  queue.Push(WorkItem{ .id = 3, .policy = kEveryday, .deadline = kStart + 9s });
  BOOST_TEST(queue.EvictBelow(model::Rank::Urgent)->id == 2U);
  BOOST_TEST(queue.EvictBelow(model::Rank::Urgent)->id == 1U);
  BOOST_TEST(queue.EvictBelow(model::Rank::Urgent)->id == 3U);
  BOOST_TEST(!queue.EvictBelow(model::Rank::Urgent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_dropped_early_when_it_cannot_meet_its_deadline)
{
  RankQueue queue;
  queue.Push(WorkItem{ .id = 1, .policy = kUrgent, .deadline = kStart + 5ms });
  queue.Push(WorkItem{ .id = 2, .policy = kUrgent, .deadline = kStart + 50ms });
  std::vector<WorkItem> dropped = queue.DropLate(kStart, [](model::Rank) { return 10ms; });
  BOOST_REQUIRE(dropped.size() == 1U);
  BOOST_TEST(dropped[0].id == 1U);
  BOOST_TEST(queue.Size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_concurrency_limit)

BOOST_AUTO_TEST_CASE(decreases_once_per_burst_of_long_waits)
{
  ConcurrencyLimit limit;
  LimitOptions options;
  double before = limit.limit;
  for (int query = 0; query < 10; ++query) {
    OnFinished(limit, options, 500ms, 50ms, kStart);
  }
  BOOST_TEST(limit.limit == before * options.minDecreaseFactor);
  OnFinished(limit, options, 500ms, 50ms, kStart + options.decreaseInterval);
  BOOST_TEST(limit.limit < before * options.minDecreaseFactor);
}

BOOST_AUTO_TEST_CASE(does_not_decrease_for_occasional_long_waits)
{
  ConcurrencyLimit limit;
  LimitOptions options;
  double before = limit.limit;
  for (int query = 0; query < 1000; ++query) {
    base::Duration wait = query % 20 == 0 ? 40ms : 1ms;
    OnFinished(limit, options, wait, 50ms, kStart + query * 30ms);
  }
  BOOST_TEST(limit.limit >= before);
}

BOOST_AUTO_TEST_CASE(reserves_capacity_for_urgent_work)
{
  ConcurrencyLimit limit{ .limit = 10.0 };
  BOOST_TEST(!MayStart(limit, model::Rank::Deferrable, 8));
  BOOST_TEST(MayStart(limit, model::Rank::Everyday, 8));
  BOOST_TEST(MayStart(limit, model::Rank::Urgent, 9));
  BOOST_TEST(!MayStart(limit, model::Rank::Urgent, 10));
}

BOOST_AUTO_TEST_CASE(reserves_capacity_for_a_class_with_a_guaranteed_share)
{
  ConcurrencyLimit limit{ .limit = 10.0 };
  BOOST_TEST(MayStartWithinGuarantee(limit, 0.2, 3));
  BOOST_TEST(!MayStartWithinGuarantee(limit, 0.2, 4));
  BOOST_TEST(MayStartWithinGuarantee(limit, 0.01, 1));
  BOOST_TEST(!MayStartWithinGuarantee(limit, 0.01, 2));
}

BOOST_AUTO_TEST_CASE(clamps_retry_after_to_1_to_30_seconds)
{
  BOOST_TEST(RetryAfterSeconds(1ms) == 1);
  BOOST_TEST(RetryAfterSeconds(2500ms) == 3);
  BOOST_TEST(RetryAfterSeconds(10min) == 30);
}

BOOST_AUTO_TEST_SUITE_END()
