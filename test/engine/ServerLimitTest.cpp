#include "EngineFixture.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace sapphirewind;
using namespace sapphirewind::test;
using namespace std::chrono_literals;

namespace {

/// Three instances before the two servers of one service, of which the first names a request rate.
struct LimitedServer : EngineFixture
{
  LimitedServer()
  {
    for (size_t index = 0; index < kInstances; ++index) {
      this->instances.push_back(
        std::make_unique<RunningInstance>(this->SettingsOf("instance-" + std::to_string(index))));
    }
    for (const auto& instance : this->instances) {
      BOOST_REQUIRE(Await([&] { return instance->IsReady(); }));
    }
  }

  void Limit(size_t aServer, std::optional<double> aRate)
  {
    this->ServerOf("p", aServer).SetBehaviour({ .requestRate = aRate });
  }

  /// Sends requests to all instances in turn for a time. Returns how many were answered by a
  /// server, and how many were rejected.
  std::pair<size_t, size_t> SendFor(std::chrono::milliseconds aTime)
  {
    std::pair<size_t, size_t> counts;
    auto until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      auto& instance = *this->instances[this->sent % kInstances];
      std::string id = "limited-" + std::to_string(this->sent++);
      auto answer = Caller(instance.Get().CallerAddress()).Exchange({ .target = "/p/1", .id = id });
      BOOST_REQUIRE(answer.has_value());
      if (answer->result_int() == 200) {
        ++counts.first;
        continue;
      }
      BOOST_TEST(answer->result_int() == 503U);
      BOOST_TEST(answer->count(engine::http::field::retry_after) == 1U);
      BOOST_TEST(this->RunsOf(id) == 0);
      ++counts.second;
    }
    return counts;
  }

  static constexpr size_t kInstances = 3;
  std::vector<std::unique_ptr<RunningInstance>> instances;
  size_t sent = 0;
};

/// What the platform allows in a time.
double
Allowed(double aRate, std::chrono::duration<double> aTime)
{
  return 1.5 * aRate * aTime.count() + 5.0;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_server_that_names_a_request_rate, LimitedServer)

// Guards against a rate that each instance keeps, or that none reads.
BOOST_AUTO_TEST_CASE(gets_no_more_from_all_instances_together_and_the_rest_goes_to_another)
{
  constexpr double kRate = 2.0;
  this->Limit(0, kRate);
  this->SendFor(1s);
  size_t before = this->ServerOf("p", 0).Arrivals();
  auto since = std::chrono::steady_clock::now();
  auto [answered, rejected] = this->SendFor(4s);
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - since;
  size_t arrived = this->ServerOf("p", 0).Arrivals() - before;
  BOOST_TEST(static_cast<double>(arrived) <= Allowed(kRate, took));
  BOOST_TEST(rejected == 0U);
  BOOST_TEST(answered > 5 * Allowed(kRate, took));
}

BOOST_AUTO_TEST_CASE(is_used_as_before_once_it_names_none)
{
  this->Limit(0, 2.0);
  this->SendFor(500ms);
  this->Limit(0, std::nullopt);
  size_t before = this->ServerOf("p", 0).Arrivals();
  BOOST_TEST(Await([&] {
    this->SendFor(100ms);
    return this->ServerOf("p", 0).Arrivals() - before > 500;
  }));
}

BOOST_AUTO_TEST_CASE(lets_what_does_not_fit_anywhere_be_rejected_as_not_run)
{
  this->Limit(0, 0.0);
  this->Limit(1, 0.0);
  auto [answered, rejected] = this->SendFor(2s);
  BOOST_TEST(rejected > answered);
}

BOOST_AUTO_TEST_SUITE_END()
