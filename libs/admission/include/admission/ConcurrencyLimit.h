/// @file How many queries an instance lets run at a time, learnt from the waits that owners report.
#pragma once

#include <base/Time.h>
#include <model/Work.h>

namespace sapphirewind::admission {

/// The state of the adaptive limit. It grows slowly while waits are short and falls in proportion
/// when they are long.
struct ConcurrencyLimit
{
  double limit = 24.0;
  /// The smoothed wait for slots, in microseconds.
  double waitMicros = 0.0;
  base::Instant decreasedAt{};
};

struct LimitOptions
{
  /// The wait for a slot that is aimed at, as a part of a query's typical time: long enough to keep
  /// slots busy, short against targets.
  double targetWaitFraction = 0.15;
  base::Duration minTargetWait = std::chrono::milliseconds(3);
  double minLimit = 2.0;
  double maxLimit = 64.0;
  /// The most that one decrease takes away.
  double minDecreaseFactor = 0.7;
  /// At most one decrease in this time, so that one burst counts once.
  base::Duration decreaseInterval = std::chrono::milliseconds(50);
};

/// Takes in one finished query's mean wait for slots, given the typical time of a query.
void
OnFinished(ConcurrencyLimit& aLimit,
           const LimitOptions& aOptions,
           base::Duration aMeanWait,
           base::Duration aTypicalTime,
           base::Instant aNow);

/// The part of the limit that a rank may fill, so that urgent work finds room when the others
/// flood.
double
ShareOfLimit(model::Rank aRank);

/// Whether one more query of a rank may start, given those in flight of its rank and the ones
/// served before it. Lower ranks do not count: owners let urgent work pass them.
bool
MayStart(const ConcurrencyLimit& aLimit, model::Rank aRank, size_t aInFlightAtOrAbove);

/// Whether one more query of a class below its floor may start, given those of the class in flight:
/// it keeps its share of the limit, at least one.
bool
MayStartWithinGuarantee(const ConcurrencyLimit& aLimit, double aFloor, size_t aInFlightOfClass);

/// An estimate of how long a new query waits behind others.
base::Duration
ExpectedWait(const ConcurrencyLimit& aLimit, size_t aAhead, base::Duration aTypicalTime);

/// Seconds to state in Retry-After, at least 1.
int
RetryAfterSeconds(base::Duration aExpectedWait);

} // namespace sapphirewind::admission
