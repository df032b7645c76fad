#include "EngineFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirewind;
using namespace sapphirewind::test;
using namespace std::chrono_literals;

namespace {

/// Instances of one region whose store cuts off its waiting watches again and again.
struct CutWatches : EngineFixture
{
  void Start(size_t aInstances)
  {
    for (size_t index = 0; index < aInstances; ++index) {
      this->instances.push_back(
        std::make_unique<RunningInstance>(this->SettingsOf("instance-" + std::to_string(index))));
    }
    for (const auto& instance : this->instances) {
      BOOST_REQUIRE(Await([&] { return instance->IsReady(); }));
    }
  }

  /// Removes a server's entry between two cuts, then cuts off all watches after each round of
  /// requests. Returns whether a round comes that does not reach the server.
  bool StopsReaching(fakes::SearchServer& aServer)
  {
    this->store.CutWatches();
    std::this_thread::sleep_for(kPauseBetweenCuts);
    this->store.Remove("servers", aServer.Id());
    return Await([&] {
      std::this_thread::sleep_for(kPauseBetweenCuts);
      this->store.CutWatches();
      size_t before = aServer.Arrivals();
      this->SendToAll();
      return aServer.Arrivals() == before;
    });
  }

  void SendToAll()
  {
    constexpr int kRequests = 10;
    for (const auto& instance : this->instances) {
      Caller caller(instance->Get().CallerAddress());
      for (int request = 0; request < kRequests; ++request) {
        auto answer =
          caller.Exchange({ .target = "/p/1", .id = "cut-" + std::to_string(this->sent++) });
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->result_int() == 200U);
      }
    }
  }

  /// Shorter than the wait of a watch, so that each cut meets one that waits.
  static constexpr auto kPauseBetweenCuts = 400ms;
  std::vector<std::unique_ptr<RunningInstance>> instances;
  size_t sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_store_that_cuts_off_its_watches, CutWatches)

// Guards against a cut watch that is taken for an outage, in which removed servers stay in use.
BOOST_AUTO_TEST_CASE(does_not_keep_a_removed_server_in_use)
{
  this->Start(1);
  BOOST_TEST(this->StopsReaching(this->ServerOf("p", 0)));
}

// Guards against mirrors that pass on such an outage to the instances that read from them.
BOOST_AUTO_TEST_CASE(does_not_keep_a_removed_server_in_use_at_instances_that_read_from_mirrors)
{
  constexpr size_t kInstancesWithMirrors = 7;
  this->Start(kInstancesWithMirrors);
  BOOST_TEST(this->StopsReaching(this->ServerOf("p", 0)));
}

BOOST_AUTO_TEST_SUITE_END()
