#include <algorithm>
#include <base/Random.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <dispatch/InstanceShare.h>
#include <dispatch/RateLimit.h>
#include <vector>

using namespace sapphirewind;
using namespace sapphirewind::dispatch;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const base::Instant kStart{ 1000s };
constexpr base::Duration kStep = 100ms;
/// The platform counts the requests in this window.
constexpr base::Duration kWindow = 4s;

/// What the platform allows in a window: one and a half times the rate, and five requests.
double
Allowed(double aRate)
{
  return 1.5 * aRate * std::chrono::duration<double>(kWindow).count() + 5.0;
}

/// Instances of three regions that share one server, and its arrivals.
class Fleet
{
public:
  Fleet(size_t aInstances, double aRate)
    : rate(aRate)
  {
    for (size_t index = 0; index < aInstances; ++index) {
      this->entries.push_back({ .name = NameOf(index), .region = RegionOf(index) });
    }
    std::sort(this->entries.begin(),
              this->entries.end(),
              [](const auto& aLeft, const auto& aRight) { return aLeft.name < aRight.name; });
    for (size_t index = 0; index < aInstances; ++index) {
      this->limits.push_back(MakeRateLimit(this->OptionsOf(index, this->entries), this->now));
    }
  }

  /// Lets an instance list the instances anew.
  void See(size_t aIndex, const std::vector<directory::InstanceEntry>& aSeen)
  {
    UpdateRateLimit(this->limits[aIndex], this->OptionsOf(aIndex, aSeen), this->now);
  }

  void Restart(size_t aIndex)
  {
    this->limits[aIndex] = MakeRateLimit(this->OptionsOf(aIndex, this->entries), this->now);
  }

  void StepClock(size_t aIndex, base::Duration aBy)
  {
    RateLimitOptions options = this->limits[aIndex].options;
    options.wallOffset += aBy;
    UpdateRateLimit(this->limits[aIndex], options, this->now);
  }

  /// Runs for a time in which each instance uses all its permits, or none.
  void Run(base::Duration aTime, bool aDemand)
  {
    for (base::Instant until = this->now + aTime; this->now < until; this->now += kStep) {
      for (RateLimit& limit : this->limits) {
        IssuePermits(limit, this->now);
        while (aDemand && HasPermit(limit)) {
          UsePermit(limit);
          this->window.push_back(this->now);
          ++this->total;
        }
      }
      while (!this->window.empty() && this->window.front() <= this->now - kWindow) {
        this->window.pop_front();
      }
      this->mostInWindow = std::max(this->mostInWindow, this->window.size());
    }
  }

  const std::vector<directory::InstanceEntry>& Entries() const { return this->entries; }
  size_t Size() const { return this->limits.size(); }
  size_t MostInWindow() const { return this->mostInWindow; }
  size_t Total() const { return this->total; }
  size_t Pick() { return base::UniformIndex(this->random, this->limits.size()); }

private:
  static std::string NameOf(size_t aIndex) { return "instance-" + std::to_string(aIndex); }
  static std::string RegionOf(size_t aIndex) { return "region-" + std::to_string(aIndex % 3); }

  RateLimitOptions OptionsOf(size_t aIndex,
                             const std::vector<directory::InstanceEntry>& aSeen) const
  {
    directory::InstanceEntry self{ .name = NameOf(aIndex), .region = RegionOf(aIndex) };
    return { .server = 4711,
             .serverRate = this->rate,
             .arc = ComputeInstanceArc(aSeen, self, "region-0") };
  }

  double rate;
  base::Random random{ 17 };
  base::Instant now = kStart;
  std::vector<directory::InstanceEntry> entries;
  std::vector<RateLimit> limits;
  std::deque<base::Instant> window;
  size_t mostInWindow = 0;
  size_t total = 0;
};

const std::vector<size_t> kFleets = { 6, 9, 64, 78, 295, 1000, 6500 };
const std::vector<double> kRates = { 2.0, 30.2, 400.0 };

} // namespace

BOOST_AUTO_TEST_SUITE(a_servers_request_rate)

BOOST_AUTO_TEST_SUITE(is_kept_by_all_instances_together)

BOOST_DATA_TEST_CASE(while_all_send_as_much_as_they_may,
                     data::make(kFleets) * data::make(kRates),
                     instances,
                     rate)
{
  Fleet fleet(instances, rate);
  fleet.Run(30s, true);
  BOOST_TEST(static_cast<double>(fleet.MostInWindow()) <= Allowed(rate));
  // What fits must not be turned away: two thirds of the rate are used at least.
  BOOST_TEST(static_cast<double>(fleet.Total()) >= rate * 30.0 * 2.0 / 3.0);
}

BOOST_DATA_TEST_CASE(when_callers_return_after_a_quiet_time,
                     data::make(kFleets) * data::make(kRates),
                     instances,
                     rate)
{
  Fleet fleet(instances, rate);
  for (int round = 0; round < 3; ++round) {
    fleet.Run(10s, false);
    fleet.Run(5s, true);
  }
  BOOST_TEST(static_cast<double>(fleet.MostInWindow()) <= Allowed(rate));
}

BOOST_DATA_TEST_CASE(while_instances_restart,
                     data::make(kFleets) * data::make(kRates),
                     instances,
                     rate)
{
  Fleet fleet(instances, rate);
  for (int second = 0; second < 20; ++second) {
    fleet.Run(1s, true);
    for (size_t restarted = 0; restarted < fleet.Size() / 10 + 1; ++restarted) {
      fleet.Restart(fleet.Pick());
    }
  }
  BOOST_TEST(static_cast<double>(fleet.MostInWindow()) <= Allowed(rate));
}

BOOST_DATA_TEST_CASE(while_they_see_different_instances,
                     data::make(kFleets) * data::make(kRates),
                     instances,
                     rate)
{
  Fleet fleet(instances, rate);
  std::vector<directory::InstanceEntry> withoutFirst(fleet.Entries().begin() + 1,
                                                     fleet.Entries().end());
  std::vector<directory::InstanceEntry> withoutQuarter;
  for (size_t index = 0; index < fleet.Size(); ++index) {
    if (index % 4 != 0) {
      withoutQuarter.push_back(fleet.Entries()[index]);
    }
  }
  for (int round = 0; round < 4; ++round) {
    fleet.Run(5s, true);
    for (size_t index = 0; index < fleet.Size(); ++index) {
      // Half of them do not see a quarter of the others; the rest is about to see one leave.
      bool seesLess = fleet.Pick() % 2 == 0;
      fleet.See(index,
                index % 2 == 0 ? withoutQuarter : (seesLess ? withoutFirst : fleet.Entries()));
    }
  }
  BOOST_TEST(static_cast<double>(fleet.MostInWindow()) <= Allowed(rate));
}

BOOST_DATA_TEST_CASE(while_clocks_of_some_are_set_forth_and_back,
                     data::make(kFleets) * data::make(kRates),
                     instances,
                     rate)
{
  Fleet fleet(instances, rate);
  for (int second = 0; second < 20; ++second) {
    fleet.Run(1s, true);
    bool forth = second == 5;
    bool back = second == 12;
    for (size_t index = 0; (forth || back) && index < fleet.Size(); index += 2) {
      fleet.StepClock(index, forth ? 9s : -9s);
    }
  }
  BOOST_TEST(static_cast<double>(fleet.MostInWindow()) <= Allowed(rate));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gives_a_lone_instance)

namespace {

RateLimit
LoneLimit(double aRate)
{
  return MakeRateLimit({ .server = 1, .serverRate = aRate }, kStart);
}

/// The permits that come within a time, if all are used at once.
size_t
PermitsWithin(RateLimit& aLimit, base::Instant& aNow, base::Duration aTime)
{
  size_t count = 0;
  for (base::Instant until = aNow + aTime; aNow < until; aNow += kStep) {
    for (IssuePermits(aLimit, aNow); HasPermit(aLimit); UsePermit(aLimit)) {
      ++count;
    }
  }
  return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(nearly_the_whole_rate)
{
  RateLimit limit = LoneLimit(10.0);
  base::Instant now = kStart;
  size_t permits = PermitsWithin(limit, now, 100s);
  BOOST_TEST(permits >= 900U);
  BOOST_TEST(permits <= 1000U);
}

BOOST_AUTO_TEST_CASE(no_more_than_those_of_a_second_after_a_quiet_time)
{
  RateLimit limit = LoneLimit(10.0);
  base::Instant now = kStart + 1min;
  BOOST_TEST(PermitsWithin(limit, now, kStep) <= 10U);
}

BOOST_AUTO_TEST_CASE(no_second_permit_when_its_part_changes)
{
  RateLimit limit = LoneLimit(1.0);
  base::Instant now = kStart;
  size_t permits = 0;
  for (int round = 0; round < 100; ++round) {
    permits += PermitsWithin(limit, now, kStep);
    RateLimitOptions options = limit.options;
    options.arc.length = round % 2 == 0 ? 0.5 : 1.0;
    UpdateRateLimit(limit, options, now);
  }
  BOOST_TEST(permits <= 10U);
}

BOOST_AUTO_TEST_CASE(the_time_of_its_next_permit)
{
  RateLimit limit = LoneLimit(1.0);
  base::Instant now = kStart;
  BOOST_TEST(PermitsWithin(limit, now, 1s) <= 1U);
  std::optional<base::Instant> next = NextPermitAt(limit, now + 10s);
  BOOST_REQUIRE(next.has_value());
  IssuePermits(limit, *next - 2ms);
  BOOST_TEST(!HasPermit(limit));
  IssuePermits(limit, *next + 2ms);
  BOOST_TEST(HasPermit(limit));
  BOOST_TEST(!NextPermitAt(limit, *next + 500ms).has_value());
}

// A server that names no requests at all must still be asked whether that is over.
BOOST_AUTO_TEST_CASE(a_permit_now_and_then_for_a_rate_of_zero)
{
  RateLimit limit = LoneLimit(0.0);
  base::Instant now = kStart;
  size_t permits = PermitsWithin(limit, now, 20s);
  BOOST_TEST(permits >= 5U);
  BOOST_TEST(static_cast<double>(permits) <= Allowed(0.0) * 5);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
