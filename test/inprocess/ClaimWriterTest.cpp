#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fakes/InMemoryStore.h>
#include <set>
#include <thread>
#include <tier/ClaimWriter.h>

using namespace sapphirewind;
using namespace std::chrono_literals;

namespace {

claims::Operation
AcquireKey(const std::string& aKey, const std::string& aNonce)
{
  return claims::Operation{ .kind = claims::OperationKind::Acquire,
                            .key = aKey,
                            .nonce = aNonce,
                            .holder = "h",
                            .bodyHash = 1,
                            .atMillis = base::WallClockMillis() };
}

}

BOOST_AUTO_TEST_SUITE(a_claim_writer)

BOOST_AUTO_TEST_CASE(grants_a_key_to_one_of_many_writers)
{
  fakes::InMemoryStore core;
  tier::Counters counters;
  std::vector<std::unique_ptr<tier::ClaimWriter>> writers;
  for (int index = 0; index < 4; ++index) {
    writers.push_back(std::make_unique<tier::ClaimWriter>(core, counters));
  }
  std::atomic<int> granted{ 0 };
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 16; ++thread) {
    threads.emplace_back([&, thread] {
      auto result = writers[thread % 4]->Submit(AcquireKey("k", "n" + std::to_string(thread)),
                                                base::Now() + 5s);
      granted += result && result->verdict == claims::Verdict::Granted ? 1 : 0;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(granted == 1);
}

BOOST_AUTO_TEST_SUITE(over_a_store_that_loses_responses)

BOOST_AUTO_TEST_CASE(grants_the_key_after_finding_its_own_nonce)
{
  fakes::InMemoryStore core;
  tier::Counters counters;
  tier::ClaimWriter writer(core, counters);
  core.SetFaults(fakes::PlatformFaults{ .loseAnswers = 1 });
  auto result = writer.Submit(AcquireKey("k", "n1"), base::Now() + 5s);
  BOOST_REQUIRE(result);
  BOOST_TEST((result->verdict == claims::Verdict::Granted));
  BOOST_TEST(core.Calls().writes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(returns_no_result_by_the_deadline_when_the_store_is_unavailable)
{
  fakes::InMemoryStore core;
  tier::Counters counters;
  tier::ClaimWriter writer(core, counters);
  core.SetFaults(fakes::PlatformFaults{ .down = true });
  BOOST_TEST(!writer.Submit(AcquireKey("k", "n1"), base::Now() + 200ms).has_value());
}

BOOST_AUTO_TEST_CASE(combines_concurrent_operations_on_a_bucket_into_few_writes)
{
  fakes::InMemoryStore core;
  tier::Counters counters;
  tier::ClaimWriter writer(core, counters);
  core.SetFaults(fakes::PlatformFaults{ .delay = 20ms });
  constexpr int kKeys = 200;
  std::vector<std::thread> threads;
  // All keys map to the same bucket, so that a write can apply several operations.
  std::vector<std::string> keys;
  for (int number = 0; keys.size() < kKeys; ++number) {
    std::string key = "key" + std::to_string(number);
    if (claims::BucketOf(key) == 0) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    threads.emplace_back(
      [&writer, key] { writer.Submit(AcquireKey(key, key), base::Now() + 10s); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(core.Calls().writes <= kKeys / 4U);
}

BOOST_AUTO_TEST_SUITE_END()
