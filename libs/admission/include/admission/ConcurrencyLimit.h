/// @file Adaptive limit of concurrent queries per instance, driven by the slot waits that owners
/// report.
#pragma once

#include <base/Time.h>
#include <model/Work.h>

namespace sapphirewind::admission {

/// The state of the adaptive limit (additive increase, multiplicative decrease). The limit grows by
/// 1/limit per finished query while waits are at most the target, and decreases while they are
/// longer.
struct ConcurrencyLimit
{
  double limit = 24.0;
  /// The exponentially weighted moving average of slot waits, in microseconds.
  double waitMicros = 0.0;
  base::Instant decreasedAt{};
};

struct LimitOptions
{
  /// The target wait for a slot as a fraction of the typical query time: long enough to keep slots
  /// busy, short compared to latency targets.
  double targetWaitFraction = 0.15;
  base::Duration minTargetWait = std::chrono::milliseconds(3);
  double minLimit = 2.0;
  double maxLimit = 64.0;
  /// The smallest factor of a single decrease.
  double minDecreaseFactor = 0.7;
  /// The minimum time between decreases, so that one burst causes only one.
  base::Duration decreaseInterval = std::chrono::milliseconds(50);
};

/// Updates the limit with the mean slot wait of a finished query, given the typical query time.
void
OnFinished(ConcurrencyLimit& aLimit,
           const LimitOptions& aOptions,
           base::Duration aMeanWait,
           base::Duration aTypicalTime,
           base::Instant aNow);

/// The fraction of the limit that a rank may use. Keeps capacity for urgent queries when lower
/// ranks are overloaded.
double
ShareOfLimit(model::Rank aRank);

/// Returns whether one more query of a rank may start, given the number of queries in flight of its
/// own and higher ranks. Lower ranks are not counted because owners serve urgent work before them.
bool
MayStart(const ConcurrencyLimit& aLimit, model::Rank aRank, size_t aInFlightAtOrAbove);

/// Returns whether one more query of a class may start because the class is below its guaranteed
/// share of service, given the number of its queries in flight. Allows twice the guaranteed share
/// of the limit, at least two queries.
bool
MayStartWithinGuarantee(const ConcurrencyLimit& aLimit,
                        double aGuaranteedShare,
                        size_t aInFlightOfClass);

/// Estimates the queueing time of a new query from the number of queries ahead of it.
base::Duration
ExpectedWait(const ConcurrencyLimit& aLimit, size_t aQueriesAhead, base::Duration aTypicalTime);

/// The value of the Retry-After header in seconds, from 1 to 30.
int
RetryAfterSeconds(base::Duration aExpectedWait);

} // namespace sapphirewind::admission
