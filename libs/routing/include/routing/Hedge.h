/// @file When a second attempt may be sent: budgets for hedges and retries, and the learnt delay.
#pragma once

#include <base/Time.h>
#include <cstddef>
#include <memory>

namespace sapphirewind::routing {

/// A quantile of recent latencies, over the last one or two windows of samples.
class LatencyWindow
{
public:
  explicit LatencyWindow(double aQuantile);
  ~LatencyWindow();
  LatencyWindow(LatencyWindow&&) noexcept;
  LatencyWindow& operator=(LatencyWindow&&) noexcept;

  void Add(base::Duration aLatency);

  /// The quantile; zero until enough samples came.
  base::Duration Value() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// A budget of extra attempts as a share of first attempts: each first attempt earns a share of a
/// token, each extra one spends a token.
struct AttemptBudget
{
  double share = 0.0;
  double capacity = 10.0;
  double tokens = 0.0;
};

/// The share of first attempts that hedges may add.
constexpr double kHedgeShare = 0.03;
/// The share of first attempts that retries may add.
constexpr double kRetryShare = 0.1;
/// The quantile of latency after which a hedge is sent.
constexpr double kHedgeQuantile = 0.97;
/// Attempts of one group's part, the first included.
constexpr size_t kMaxAttempts = 3;

void
Deposit(AttemptBudget& aBudget);

/// Spends a token; false when there is none.
bool
TryWithdraw(AttemptBudget& aBudget);

/// What a hedge decision looks at.
struct HedgeInput
{
  base::Instant sentAt;
  base::Instant deadline;
  base::Duration delay{ 0 };
  /// Work waits for slots, so a hedge would take one from a first attempt.
  bool queueNotEmpty = false;
  bool budgetLeft = false;
};

/// Whether a hedge is due now. Never in overload, never without a learnt delay, never too late to
/// help.
bool
HedgeIsDue(const HedgeInput& aInput, base::Instant aNow);

} // namespace sapphirewind::routing
