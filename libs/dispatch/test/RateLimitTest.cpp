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
constexpr base::Duration kStep = 20ms;
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
    , random(base::Random(17))
  {
    for (size_t index = 0; index < aInstances; ++index) {
      this->limits.push_back(this->NewLimit(index, aInstances));
    }
  }

  double ShareOf(size_t aIndex, size_t aCounted) const
  {
    return ComputeInstanceShare({ .instancesInRegion = std::max<size_t>(1, aCounted / kRegions),
                                  .instances = aCounted,
                                  .sameRegion = aIndex % kRegions == 0 });
  }

  RateLimit NewLimit(size_t aIndex, size_t aCounted)
  {
    return MakeRateLimit(PermitRate(this->rate, this->ShareOf(aIndex, aCounted)),
                         base::UniformUnit(this->random),
                         this->now);
  }

  /// Lets an instance count the instances anew.
  void Count(size_t aIndex, size_t aCounted)
  {
    SetRate(
      this->limits[aIndex], PermitRate(this->rate, this->ShareOf(aIndex, aCounted)), this->now);
  }

  void Restart(size_t aIndex)
  {
    this->limits[aIndex] = this->NewLimit(aIndex, this->limits.size());
  }

  /// Runs for a time in which each instance sends whenever it may with a probability a step.
  void Run(base::Duration aTime, double aDemand)
  {
    for (base::Instant until = this->now + aTime; this->now < until; this->now += kStep) {
      for (RateLimit& limit : this->limits) {
        bool wants = aDemand >= 1.0 || base::UniformUnit(this->random) < aDemand;
        while (wants && HasPermit(limit, this->now)) {
          UsePermit(limit, this->now);
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

  size_t Size() const { return this->limits.size(); }
  size_t MostInWindow() const { return this->mostInWindow; }
  size_t Total() const { return this->total; }
  base::Random& Dice() { return this->random; }

private:
  static constexpr size_t kRegions = 3;
  double rate;
  base::Random random;
  base::Instant now = kStart;
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
  fleet.Run(30s, 1.0);
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
    fleet.Run(10s, 0.0);
    fleet.Run(5s, 1.0);
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
    fleet.Run(1s, 1.0);
    for (size_t restarted = 0; restarted < fleet.Size() / 10 + 1; ++restarted) {
      fleet.Restart(
        static_cast<size_t>(base::UniformUnit(fleet.Dice()) * static_cast<double>(fleet.Size())));
    }
  }
  BOOST_TEST(static_cast<double>(fleet.MostInWindow()) <= Allowed(rate));
}

BOOST_DATA_TEST_CASE(while_their_counts_of_each_other_differ,
                     data::make(kFleets) * data::make(kRates),
                     instances,
                     rate)
{
  Fleet fleet(instances, rate);
  for (int second = 0; second < 20; ++second) {
    fleet.Run(1s, 1.0);
    for (size_t index = 0; index < fleet.Size(); ++index) {
      // Half of them do not see a quarter of the others; the rest changes its mind each second.
      size_t seen = index % 2 == 0 ? fleet.Size() - fleet.Size() / 4
                                   : fleet.Size() + static_cast<size_t>(second % 3);
      fleet.Count(index, seen);
    }
  }
  BOOST_TEST(static_cast<double>(fleet.MostInWindow()) <= Allowed(rate));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gives_an_instance)

BOOST_AUTO_TEST_CASE(its_first_permit_by_its_phase)
{
  RateLimit limit = MakeRateLimit(0.5, 0.25, kStart);
  BOOST_TEST(!HasPermit(limit, kStart));
  BOOST_TEST((NextPermitAt(limit, kStart) == kStart + 1500ms));
  BOOST_TEST(HasPermit(limit, kStart + 1500ms));
}

BOOST_AUTO_TEST_CASE(a_permit_that_lapses_unused)
{
  RateLimit limit = MakeRateLimit(0.5, 0.25, kStart);
  BOOST_TEST(HasPermit(limit, kStart + 2400ms));
  BOOST_TEST(!HasPermit(limit, kStart + 2600ms));
  BOOST_TEST((NextPermitAt(limit, kStart + 2600ms) == kStart + 3500ms));
}

BOOST_AUTO_TEST_CASE(one_request_a_permit)
{
  RateLimit limit = MakeRateLimit(10.0, 0.0, kStart);
  base::Instant later = kStart + 350ms;
  for (int permit = 0; permit < 3; ++permit) {
    BOOST_TEST(HasPermit(limit, later));
    UsePermit(limit, later);
  }
  BOOST_TEST(!HasPermit(limit, later));
  BOOST_TEST((NextPermitAt(limit, later) - later <= 51ms));
}

BOOST_AUTO_TEST_CASE(no_second_permit_when_its_rate_changes)
{
  RateLimit limit = MakeRateLimit(1.0, 0.0, kStart);
  UsePermit(limit, kStart + 1s);
  SetRate(limit, 0.9, kStart + 1s);
  BOOST_TEST(!HasPermit(limit, kStart + 1s));
  BOOST_TEST(HasPermit(limit, kStart + 2200ms));
}

// A server that names no requests at all must still be asked whether that is over.
BOOST_AUTO_TEST_CASE(a_permit_now_and_then_for_a_rate_of_zero)
{
  RateLimit limit = MakeRateLimit(PermitRate(0.0, 1.0), 0.0, kStart);
  BOOST_TEST((NextPermitAt(limit, kStart) <= kStart + 4s));
  BOOST_TEST(PermitRate(0.0, 1.0) * 4.0 < Allowed(0.0));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
