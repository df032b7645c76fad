#include <dispatch/RateLimit.h>

#include <algorithm>
#include <cmath>

namespace sapphirewind::dispatch {

namespace {

/// The part of a server's rate that is used; the rest allows for instance counts that are out of
/// date.
constexpr double kUsableRate = 0.95;
/// The rate, in requests a second of all instances, at which a server is asked that names a lower
/// one: the answer may say that the limit is over.
constexpr double kMinServerRate = 0.5;

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double
IssuedBy(const RateLimit& aLimit, base::Instant aTime)
{
  return aLimit.issued + aLimit.perSecond * Seconds(aTime - aLimit.updatedAt);
}

/// The number of the last permit that was used or has lapsed by a time.
int64_t
LastGone(const RateLimit& aLimit, base::Instant aNow)
{
  double lapsed = IssuedBy(aLimit, aNow) - aLimit.perSecond * Seconds(kPermitLifetime);
  return std::max(aLimit.lastUsed, static_cast<int64_t>(std::floor(lapsed)));
}

} // namespace

double
PermitRate(double aServerRate, double aShare)
{
  return kUsableRate * std::max(aServerRate, kMinServerRate) * aShare;
}

RateLimit
MakeRateLimit(double aPerSecond, double aPhase, base::Instant aNow)
{
  return { .perSecond = aPerSecond, .issued = aPhase, .updatedAt = aNow };
}

void
SetRate(RateLimit& aLimit, double aPerSecond, base::Instant aNow)
{
  if (aPerSecond == aLimit.perSecond) {
    return;
  }
  aLimit.lastUsed = LastGone(aLimit, aNow);
  aLimit.issued = IssuedBy(aLimit, aNow);
  aLimit.updatedAt = aNow;
  aLimit.perSecond = aPerSecond;
}

bool
HasPermit(const RateLimit& aLimit, base::Instant aNow)
{
  return std::floor(IssuedBy(aLimit, aNow)) > static_cast<double>(LastGone(aLimit, aNow));
}

base::Instant
NextPermitAt(const RateLimit& aLimit, base::Instant aNow)
{
  double missing = static_cast<double>(LastGone(aLimit, aNow) + 1) - IssuedBy(aLimit, aNow);
  if (missing <= 0.0) {
    return aNow;
  }
  return aNow + base::FromFractionalMillis(1000.0 * missing / aLimit.perSecond);
}

void
UsePermit(RateLimit& aLimit, base::Instant aNow)
{
  aLimit.lastUsed = LastGone(aLimit, aNow) + 1;
}

} // namespace sapphirewind::dispatch
