#include <admission/ConcurrencyLimit.h>

#include <algorithm>
#include <cmath>

namespace sapphirewind::admission {

namespace {
constexpr double kUrgentShare = 1.0;
constexpr double kEverydayShare = 0.9;
constexpr double kDeferrableShare = 0.8;
/// The weight of the newest query in the moving average of waits.
constexpr double kWaitSmoothing = 0.1;
/// Queries in flight that a class below its guaranteed share may have: a minimum, and a multiple of
/// its share of the limit.
constexpr double kMinGuaranteedQueries = 2.0;
constexpr double kGuaranteeFactor = 2.0;
constexpr int kMaxRetryAfterSeconds = 30;
}

void
OnFinished(ConcurrencyLimit& aLimit,
           const LimitOptions& aOptions,
           base::Duration aMeanWait,
           base::Duration aTypicalTime,
           base::Instant aNow)
{
  double wait = static_cast<double>(aMeanWait.count());
  aLimit.waitMicros += kWaitSmoothing * (wait - aLimit.waitMicros);
  double targetWait =
    std::max(static_cast<double>(aOptions.minTargetWait.count()),
             aOptions.targetWaitFraction * static_cast<double>(aTypicalTime.count()));
  if (aLimit.waitMicros <= targetWait) {
    aLimit.limit = std::min(aOptions.maxLimit, aLimit.limit + 1.0 / aLimit.limit);
    return;
  }
  if (aNow - aLimit.decreasedAt >= aOptions.decreaseInterval) {
    double factor = std::max(aOptions.minDecreaseFactor, std::sqrt(targetWait / aLimit.waitMicros));
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
  double allowed = std::max(1.0, aLimit.limit * ShareOfLimit(aRank));
  return static_cast<double>(aInFlightAtOrAbove) + 1.0 <= allowed;
}

bool
MayStartWithinGuarantee(const ConcurrencyLimit& aLimit,
                        double aGuaranteedShare,
                        size_t aInFlightOfClass)
{
  double guaranteed =
    std::max(kMinGuaranteedQueries, kGuaranteeFactor * aLimit.limit * aGuaranteedShare);
  return static_cast<double>(aInFlightOfClass) + 1.0 <= guaranteed;
}

base::Duration
ExpectedWait(const ConcurrencyLimit& aLimit, size_t aQueriesAhead, base::Duration aTypicalTime)
{
  double rounds = static_cast<double>(aQueriesAhead) / std::max(1.0, aLimit.limit);
  return base::Duration(static_cast<int64_t>(rounds * static_cast<double>(aTypicalTime.count())));
}

int
RetryAfterSeconds(base::Duration aExpectedWait)
{
  auto seconds = static_cast<int>(std::ceil(std::chrono::duration<double>(aExpectedWait).count()));
  return std::clamp(seconds, 1, kMaxRetryAfterSeconds);
}

} // namespace sapphirewind::admission
