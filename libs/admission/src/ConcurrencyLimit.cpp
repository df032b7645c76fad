#include <admission/ConcurrencyLimit.h>

#include <algorithm>
#include <cmath>

namespace sapphirewind::admission {

namespace {
constexpr double kUrgentShare = 1.0;
constexpr double kEverydayShare = 0.9;
constexpr double kDeferrableShare = 0.8;
/// The weight of the newest query in the smoothed wait.
constexpr double kWaitWeight = 0.1;
/// Seats of a class below its floor.
constexpr double kLeastSeats = 2.0;
constexpr double kSeatsPerShare = 2.0;
constexpr int kLongestRetryAfterSeconds = 30;
}

void
OnFinished(ConcurrencyLimit& aLimit,
           const LimitOptions& aOptions,
           base::Duration aMeanWait,
           base::Duration aTypicalTime,
           base::Instant aNow)
{
  double wait = static_cast<double>(aMeanWait.count());
  aLimit.waitMicros += kWaitWeight * (wait - aLimit.waitMicros);
  double aim = std::max(static_cast<double>(aOptions.minTargetWait.count()),
                        aOptions.targetWaitFraction * static_cast<double>(aTypicalTime.count()));
  if (aLimit.waitMicros <= aim) {
    aLimit.limit = std::min(aOptions.maxLimit, aLimit.limit + 1.0 / aLimit.limit);
    return;
  }
  if (aNow - aLimit.decreasedAt >= aOptions.decreaseInterval) {
    double factor = std::max(aOptions.minDecreaseFactor, std::sqrt(aim / aLimit.waitMicros));
    aLimit.limit = std::max(aOptions.minLimit, aLimit.limit * factor);
    aLimit.decreasedAt = aNow;
  }
}

double
ShareOfLimit(model::Rank aRank)
{
  switch (aRank) {
    case model::Rank::Urgent:
      return kUrgentShare;
    case model::Rank::Everyday:
      return kEverydayShare;
    case model::Rank::Deferrable:
      return kDeferrableShare;
  }
  return kDeferrableShare;
}

bool
MayStart(const ConcurrencyLimit& aLimit, model::Rank aRank, size_t aInFlightAtOrAbove)
{
  double room = std::max(1.0, aLimit.limit * ShareOfLimit(aRank));
  return static_cast<double>(aInFlightAtOrAbove) + 1.0 <= room;
}

bool
MayStartWithinGuarantee(const ConcurrencyLimit& aLimit, double aFloor, size_t aInFlightOfClass)
{
  double kept = std::max(kLeastSeats, kSeatsPerShare * aLimit.limit * aFloor);
  return static_cast<double>(aInFlightOfClass) + 1.0 <= kept;
}

base::Duration
ExpectedWait(const ConcurrencyLimit& aLimit, size_t aAhead, base::Duration aTypicalTime)
{
  double rounds = static_cast<double>(aAhead) / std::max(1.0, aLimit.limit);
  return base::Duration(static_cast<int64_t>(rounds * static_cast<double>(aTypicalTime.count())));
}

int
RetryAfterSeconds(base::Duration aExpectedWait)
{
  auto seconds = static_cast<int>(std::ceil(std::chrono::duration<double>(aExpectedWait).count()));
  return std::clamp(seconds, 1, kLongestRetryAfterSeconds);
}

} // namespace sapphirewind::admission
