/// @file Hedged requests and retries: their budgets and the hedge delay derived from latencies.
#pragma once

#include <base/Time.h>
#include <cstddef>
#include <memory>

namespace sapphirewind::routing {

/// Estimates a quantile of recent latencies from the last complete window of samples, or from the
/// current one until the first is complete.
class LatencyWindow
{
public:
  explicit LatencyWindow(double aQuantile);
  ~LatencyWindow();
  LatencyWindow(LatencyWindow&&) noexcept;
  LatencyWindow& operator=(LatencyWindow&&) noexcept;

  void Add(base::Duration aLatency);

  /// The estimated quantile, or zero if there are too few samples.
  base::Duration Value() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// A token bucket that limits extra attempts to a share of first attempts: each first attempt
/// deposits a fraction of a token, each extra attempt withdraws one token.
struct AttemptBudget
{
  double share = 0.0;
  double capacity = 10.0;
  double tokens = 0.0;
};

/// Hedges allowed per first attempt.
constexpr double kHedgeShare = 0.03;
/// Retries allowed per first attempt.
constexpr double kRetryShare = 0.1;
/// The latency quantile used as the hedge delay.
constexpr double kHedgeQuantile = 0.97;
/// The maximum number of attempts for one group's part of a query, including the first.
constexpr size_t kMaxAttempts = 3;

/// Adds the deposit of one first attempt, up to the capacity.
void
Deposit(AttemptBudget& aBudget);

/// Withdraws one token. Returns false if less than one is left.
bool
TryWithdraw(AttemptBudget& aBudget);

/// The inputs of a hedge decision.
struct HedgeInput
{
  base::Instant sentAt;
  base::Instant deadline;
  base::Duration delay{ 0 };
  /// Requests are queued for slots, so a hedge would take a slot from a first attempt.
  bool queueNotEmpty = false;
  bool budgetLeft = false;
};

/// Returns whether a hedge is due now. Never the case under overload, without an estimated delay,
/// or after the deadline.
bool
HedgeIsDue(const HedgeInput& aInput, base::Instant aNow);

} // namespace sapphirewind::routing
