#include "EngineFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirewind;
using namespace sapphirewind::test;
using namespace std::chrono_literals;

namespace {

/// Two instances, and requests that crash each server that starts running them.
struct CrashFixture : EngineFixture
{
  CrashFixture()
  {
    for (const auto& server : this->servers) {
      server->SetBehaviour({ .crashTarget = kPlainTarget });
    }
    for (const char* name : { "instance-1", "instance-2" }) {
      this->instances.push_back(std::make_unique<RunningInstance>(this->SettingsOf(name)));
    }
    for (size_t index = 0; index < this->instances.size(); ++index) {
      BOOST_REQUIRE(Await([&] { return this->SendRequest(index, "/q/before") == 200U; }));
    }
  }

  unsigned SendRequest(size_t aInstance, const std::string& aTarget)
  {
    auto answer = Caller(this->instances[aInstance]->Get().CallerAddress())
                    .Exchange({ .target = aTarget, .id = std::to_string(this->requestsSent++) });
    return answer ? answer->result_int() : 0;
  }

  void CrashOn(const std::string& aTarget)
  {
    for (const auto& server : this->servers) {
      server->SetBehaviour({ .crashTarget = aTarget });
    }
  }

  int Crashes() const
  {
    int crashes = 0;
    for (const auto& server : this->servers) {
      crashes += server->Crashes();
    }
    return crashes;
  }

  void RestartServers()
  {
    for (const auto& server : this->servers) {
      server->SetDown(false);
    }
  }

  /// Repeats a request, restarting crashed servers before each attempt, until the answer is 503.
  unsigned RepeatUntilRejected(size_t aInstance, const std::string& aTarget)
  {
    unsigned status = 0;
    Await([&] {
      this->RestartServers();
      status = this->SendRequest(aInstance, aTarget);
      return status == 503U;
    });
    return status;
  }

  static constexpr const char* kPlainTarget = "/p/crash";
  static constexpr const char* kQueryTarget = "/q/crash";
  std::vector<std::unique_ptr<RunningInstance>> instances;
  int requestsSent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_that_crashes_servers, CrashFixture)

BOOST_AUTO_TEST_CASE(is_rejected_after_it_crashes_a_second_server_in_isolation)
{
  BOOST_TEST(this->RepeatUntilRejected(0, kPlainTarget) == 503U);
  int crashes = this->Crashes();
  this->RestartServers();
  BOOST_TEST(this->SendRequest(0, kPlainTarget) == 503U);
  BOOST_TEST(this->Crashes() == crashes);
}

BOOST_AUTO_TEST_CASE(is_rejected_at_other_instances_before_it_crashes_servers_there)
{
  // Instances discover each other from the store's list, which each reads every few seconds, so the
  // first of these requests may be sent before the second instance receives updates.
  int number = 0;
  BOOST_TEST(Await([&] {
    std::string target = "/p/crash-" + std::to_string(number++);
    this->CrashOn(target);
    BOOST_REQUIRE(this->RepeatUntilRejected(0, target) == 503U);
    this->RestartServers();
    int crashes = this->Crashes();
    bool rejected = this->SendRequest(1, target) == 503U;
    return rejected && this->Crashes() == crashes;
  }));
}

BOOST_AUTO_TEST_SUITE(as_a_query_over_shards)

BOOST_AUTO_TEST_CASE(is_sent_to_one_shard_first_once_it_is_suspect)
{
  this->CrashOn(kQueryTarget);
  this->SendRequest(0, kQueryTarget);
  BOOST_REQUIRE(Await([this] {
    this->RestartServers();
    int before = this->Crashes();
    this->SendRequest(0, kQueryTarget);
    return this->Crashes() - before <= 1;
  }));
  BOOST_TEST(this->RepeatUntilRejected(0, kQueryTarget) == 503U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(does_not_affect_other_requests)

BOOST_AUTO_TEST_CASE(that_are_served_while_it_is_quarantined)
{
  BOOST_REQUIRE(this->RepeatUntilRejected(0, kPlainTarget) == 503U);
  this->RestartServers();
  BOOST_TEST(Await([this] { return this->SendRequest(0, "/p/other") == 200U; }));
}

BOOST_AUTO_TEST_CASE(that_lose_answers_without_a_crash)
{
  this->ForEachServerOf(
    "p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({ .resetProbability = 1.0 }); });
  for (int repeat = 0; repeat < 5; ++repeat) {
    BOOST_TEST(this->SendRequest(0, "/p/unlucky") == 502U);
  }
  this->ForEachServerOf("p", [](fakes::SearchServer& aServer) { aServer.SetBehaviour({}); });
  BOOST_TEST(Await([this] { return this->SendRequest(0, "/p/unlucky") == 200U; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
