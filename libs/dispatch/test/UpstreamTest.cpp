#include <boost/test/unit_test.hpp>
#include <dispatch/Upstream.h>

using namespace sapphirewind;
using namespace sapphirewind::dispatch;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 100s };

Upstream
MakeUpstream(base::Duration aRoundTrip)
{
  return Upstream{ .roundTrip = aRoundTrip, .slots = 3, .maxInFlight = 5 };
}

const ServiceTimeEstimate kServiceTime{ .mean = 15ms, .samples = 100 };

/// A service with one server nearby and one with a long round trip.
struct Service
{
  Upstream near = MakeUpstream(1ms);
  Upstream far = MakeUpstream(40ms);
  ServiceTimeEstimate serviceTime = kServiceTime;
  base::Random random{ 7 };

  std::optional<size_t> Choose(base::Instant aNow, const std::vector<size_t>& aTried = {})
  {
    std::vector<const Upstream*> both = { &this->near, &this->far };
    return ChooseUpstream(both, aTried, this->serviceTime, aNow, this->random);
  }

  bool ChoosesNear(base::Instant aNow) { return this->Choose(aNow) == 0U; }
};

void
RecordAnswer(Upstream& aUpstream,
             ServiceTimeEstimate& aServiceTime,
             base::Duration aLatency,
             base::Instant aNow)
{
  static uint64_t number = 1000;
  OnSent(aUpstream, ++number, 16ms, aNow - aLatency);
  OnAnswered(aUpstream, aServiceTime, number, aNow);
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_selection)

BOOST_AUTO_TEST_CASE(prefers_the_nearby_server)
{
  Service service;
  BOOST_TEST(service.ChoosesNear(kStart));
}

BOOST_AUTO_TEST_CASE(skips_servers_that_are_excluded_draining_or_at_capacity)
{
  Service service;
  BOOST_TEST((service.Choose(kStart, { 0 }) == 1U));
  BOOST_TEST(!service.Choose(kStart, { 0, 1 }).has_value());
  service.near.draining = true;
  BOOST_TEST(!service.ChoosesNear(kStart));
  service.far.maxInFlight = 0;
  BOOST_TEST(!service.Choose(kStart).has_value());
}

BOOST_AUTO_TEST_SUITE(between_regions)

BOOST_AUTO_TEST_CASE(stays_in_the_region_unless_the_other_is_faster_by_its_distance)
{
  Service service;
  service.far.isRemote = true;
  // The far server's round trip is 40 ms, and the margin twice that.
  service.near.roundTrip = 100ms;
  BOOST_TEST(service.ChoosesNear(kStart));
  service.near.roundTrip = 140ms;
  BOOST_TEST(!service.ChoosesNear(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(by_the_reported_pace_of_a_servers_machine)

BOOST_AUTO_TEST_CASE(avoids_a_server_whose_machine_is_slow_at_the_moment)
{
  Service service;
  service.far.roundTrip = 2ms;
  OnLoadReport(service.near, { .slots = 3, .workPercent = 250 }, kStart);
  BOOST_TEST(!service.ChoosesNear(kStart + 10ms));
  BOOST_TEST(service.ChoosesNear(kStart + 10 * kReportedSlowdownHalfLife));
}

BOOST_AUTO_TEST_CASE(does_not_count_a_slow_answer_twice)
{
  Service service;
  OnLoadReport(service.near, { .slots = 3, .workPercent = 300 }, kStart);
  RecordAnswer(service.near, service.serviceTime, 46ms, kStart);
  BOOST_TEST(service.near.slowdown < 1.05);
}

BOOST_AUTO_TEST_CASE(clamps_an_implausible_pace)
{
  Service service;
  OnLoadReport(service.near, { .slots = 3, .workPercent = 4000000000U }, kStart);
  BOOST_TEST((ExpectedLatency(service.near, kServiceTime, kStart) < 200ms));
  OnLoadReport(service.near, { .slots = 3, .workPercent = 0 }, kStart);
  BOOST_TEST((ExpectedLatency(service.near, kServiceTime, kStart) > 5ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_the_nearby_server_stalls)

BOOST_AUTO_TEST_CASE(avoids_it_once_a_request_is_overdue)
{
  Service service;
  OnSent(service.near, 1, 16ms, kStart);
  BOOST_TEST(service.ChoosesNear(kStart + 20ms));
  BOOST_TEST(!service.ChoosesNear(kStart + 100ms));
}

BOOST_AUTO_TEST_CASE(selects_it_again_as_soon_as_it_answers)
{
  Service service;
  OnSent(service.near, 1, 16ms, kStart);
  OnAnswered(service.near, service.serviceTime, 1, kStart + 260ms);
  BOOST_TEST(service.ChoosesNear(kStart + 261ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_nearby_server_is_slow)

BOOST_AUTO_TEST_CASE(avoids_it_after_several_slow_answers_and_probes_it_later)
{
  Service service;
  base::Instant now = kStart;
  for (int answer = 0; answer < 8; ++answer) {
    now += 30ms;
    RecordAnswer(service.near, service.serviceTime, 136ms, now);
  }
  BOOST_TEST(!service.ChoosesNear(now));
  BOOST_TEST(service.ChoosesNear(now + 15s));
}

BOOST_AUTO_TEST_CASE(tolerates_a_single_slow_answer)
{
  Service service;
  RecordAnswer(service.near, service.serviceTime, 266ms, kStart);
  BOOST_TEST(service.ChoosesNear(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_nearby_server_fails)

BOOST_AUTO_TEST_CASE(avoids_it_when_it_refuses_two_in_five_requests)
{
  Service service;
  base::Instant now = kStart;
  for (int request = 0; request < 40; ++request) {
    now += 30ms;
    if (request % 5 < 2) {
      OnSent(service.near, static_cast<uint64_t>(request), 16ms, now);
      OnRefused(service.near, static_cast<uint64_t>(request), now);
    } else {
      RecordAnswer(service.near, service.serviceTime, 16ms, now);
    }
  }
  BOOST_TEST(!service.ChoosesNear(now + 2 * kLoadReportLifetime));
}

BOOST_AUTO_TEST_CASE(ejects_it_after_two_consecutive_failures_with_exponential_backoff)
{
  Service service;
  OnFailed(service.near, 1, kStart);
  BOOST_TEST(!IsEjected(service.near, kStart));
  OnFailed(service.near, 2, kStart);
  BOOST_TEST(IsEjected(service.near, kStart + kBaseEjectionTime - 1ms));
  BOOST_TEST(!IsEjected(service.near, kStart + kBaseEjectionTime));
  OnFailed(service.near, 3, kStart);
  BOOST_TEST(IsEjected(service.near, kStart + kBaseEjectionTime));
  for (uint64_t request = 4; request < 40; ++request) {
    OnFailed(service.near, request, kStart);
  }
  BOOST_TEST(!IsEjected(service.near, kStart + kMaxEjectionTime));
}

BOOST_AUTO_TEST_CASE(selects_an_ejected_server_when_there_is_no_other)
{
  Service service;
  OnFailed(service.near, 1, kStart);
  OnFailed(service.near, 2, kStart);
  BOOST_TEST(!service.ChoosesNear(kStart));
  BOOST_TEST((service.Choose(kStart, { 1 }) == 0U));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(uses_a_load_report_until_it_expires)
{
  Service service;
  OnLoadReport(service.near, { .running = 3, .waiting = 9, .slots = 3 }, kStart);
  BOOST_TEST(!service.ChoosesNear(kStart + 1ms));
  BOOST_TEST(service.ChoosesNear(kStart + kLoadReportLifetime));
}

BOOST_AUTO_TEST_SUITE_END()
