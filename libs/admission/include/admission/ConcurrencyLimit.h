/// @file How many queries an instance lets run at a time, learnt from the waits that owners report.
#pragma once

#include <base/Time.h>
#include <model/Work.h>

namespace sapphirewind::admission {

/// The state of the adaptive limit. Additive increase while waits are short, multiplicative
/// decrease when they are long.
struct ConcurrencyLimit
{
  double limit = 16.0;
  base::Instant decreasedAt{};
};

struct LimitOptions
{
  /// The wait for a slot that is aimed at: long enough to keep slots busy, short against targets.
  base::Duration aimedWait = std::chrono::milliseconds(6);
  double least = 2.0;
  double most = 512.0;
  double decrease = 0.92;
  /// At most one decrease in this time, so that one burst counts once.
  base::Duration decreaseEvery = std::chrono::milliseconds(50);
};

/// Takes in one finished query's mean wait for slots.
void
OnFinished(ConcurrencyLimit& aLimit,
           const LimitOptions& aOptions,
           base::Duration aMeanWait,
           size_t aInFlight,
           base::Instant aNow);

/// The part of the limit that a rank may fill, so that urgent work finds room when the others
/// flood.
double
ShareOfLimit(model::Rank aRank);

/// Whether one more query of a rank may start.
bool
MayStart(const ConcurrencyLimit& aLimit, model::Rank aRank, size_t aInFlight);

/// An estimate of how long a new query waits behind others.
base::Duration
ExpectedWait(const ConcurrencyLimit& aLimit, size_t aAhead, base::Duration aTypicalTime);

/// Seconds to state in Retry-After, at least 1.
int
RetryAfterSeconds(base::Duration aExpectedWait);

} // namespace sapphirewind::admission
