#include <routing/Hedge.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace sapphirewind::routing {

namespace {

namespace acc = boost::accumulators;

constexpr size_t kWindowSamples = 400;
constexpr size_t kMinSamples = 40;

using Quantile =
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

Quantile
MakeQuantile(double aProbability)
{
  return Quantile(acc::quantile_probability = aProbability);
}

} // namespace

struct LatencyWindow::Impl
{
  explicit Impl(double aQuantile)
    : probability(aQuantile)
    , current(MakeQuantile(aQuantile))
  {
  }

  double probability;
  Quantile current;
  double lastWindowMs = 0.0;
};

LatencyWindow::LatencyWindow(double aQuantile)
  : impl(std::make_unique<Impl>(aQuantile))
{
}

LatencyWindow::~LatencyWindow() = default;
LatencyWindow::LatencyWindow(LatencyWindow&&) noexcept = default;
LatencyWindow&
LatencyWindow::operator=(LatencyWindow&&) noexcept = default;

void
LatencyWindow::Add(base::Duration aLatency)
{
  Impl& self = *this->impl;
  self.current(base::ToFractionalMillis(aLatency));
  if (acc::count(self.current) >= kWindowSamples) {
    self.lastWindowMs = acc::p_square_quantile(self.current);
    self.current = MakeQuantile(self.probability);
  }
}

base::Duration
LatencyWindow::Value() const
{
  const Impl& self = *this->impl;
  if (self.lastWindowMs > 0.0) {
    return base::FromFractionalMillis(self.lastWindowMs);
  }
  if (acc::count(self.current) < kMinSamples) {
    return base::Duration(0);
  }
  return base::FromFractionalMillis(acc::p_square_quantile(self.current));
}

void
Deposit(AttemptBudget& aBudget)
{
  aBudget.tokens = std::min(aBudget.capacity, aBudget.tokens + aBudget.share);
}

bool
TryWithdraw(AttemptBudget& aBudget)
{
  if (aBudget.tokens < 1.0) {
    return false;
  }
  aBudget.tokens -= 1.0;
  return true;
}

bool
HedgeIsDue(const HedgeInput& aInput, base::Instant aNow)
{
  if (aInput.delay.count() == 0 || aInput.queueNotEmpty || !aInput.budgetLeft) {
    return false;
  }
  return aNow >= aInput.sentAt + aInput.delay && aNow < aInput.deadline;
}

} // namespace sapphirewind::routing
