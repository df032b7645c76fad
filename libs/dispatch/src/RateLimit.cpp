#include <dispatch/RateLimit.h>

#include <algorithm>
#include <base/Random.h>
#include <cassert>
#include <cmath>

namespace sapphirewind::dispatch {

namespace {

/// The part of a server's rate that is used; the rest allows for lists of the instances that are
/// out of date.
constexpr double kUsableRate = 0.95;
/// The rate, in requests a second of all instances, at which a server is asked that names a lower
/// one: the answer may say that the limit is over.
constexpr double kMinServerRate = 0.5;
/// A higher rate counts as this one, which bounds the work of numbering permits.
constexpr double kMaxServerRate = 20'000.0;
/// Permits are numbered by the time of day. Corrections of the clock below this keep the numbers;
/// after a larger one they start anew, so that no instance goes without until the clock catches up.
constexpr base::Duration kClockTolerance = std::chrono::milliseconds(500);

/// Permits of all instances in a second.
double
PermitRate(const RateLimit& aLimit)
{
  return kUsableRate * std::clamp(aLimit.options.serverRate, kMinServerRate, kMaxServerRate);
}

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// The number of the last permit that is issued by a time.
int64_t
NumberAt(const RateLimit& aLimit, base::Instant aTime)
{
  double timeOfDay = Seconds(aTime.time_since_epoch() + aLimit.options.wallOffset);
  return static_cast<int64_t>(std::floor(timeOfDay * PermitRate(aLimit)));
}

base::Instant
IssuedAt(const RateLimit& aLimit, int64_t aNumber)
{
  double timeOfDay = static_cast<double>(aNumber) / PermitRate(aLimit);
  return base::Instant(base::FromFractionalMillis(timeOfDay * 1000.0) - aLimit.options.wallOffset);
}

bool
IsOwn(const RateLimit& aLimit, int64_t aNumber)
{
  std::string_view bytes(reinterpret_cast<const char*>(&aNumber), sizeof aNumber);
  return aLimit.options.arc.Contains(
    base::UnitFromHash(base::Hash64(bytes, aLimit.options.server)));
}

} // namespace

RateLimit
MakeRateLimit(const RateLimitOptions& aOptions, base::Instant aNow)
{
  RateLimit limit{ .options = aOptions };
  limit.lastIssued = NumberAt(limit, aNow);
  return limit;
}

void
UpdateRateLimit(RateLimit& aLimit, const RateLimitOptions& aOptions, base::Instant aNow)
{
  base::Duration jump = aOptions.wallOffset - aLimit.options.wallOffset;
  bool keepsNumbers = aOptions.serverRate == aLimit.options.serverRate && jump < kClockTolerance &&
                      jump > -kClockTolerance;
  aLimit.options = aOptions;
  if (!keepsNumbers) {
    aLimit.held.clear();
    aLimit.lastIssued = NumberAt(aLimit, aNow);
  }
}

void
IssuePermits(RateLimit& aLimit, base::Instant aNow)
{
  int64_t lapsed = NumberAt(aLimit, aNow - kPermitLifetime);
  auto valid = std::upper_bound(aLimit.held.begin(), aLimit.held.end(), lapsed);
  aLimit.held.erase(aLimit.held.begin(), valid);
  int64_t last = NumberAt(aLimit, aNow);
  for (int64_t number = std::max(aLimit.lastIssued, lapsed) + 1; number <= last; ++number) {
    if (IsOwn(aLimit, number)) {
      aLimit.held.push_back(number);
    }
  }
  aLimit.lastIssued = std::max(aLimit.lastIssued, last);
}

void
UsePermit(RateLimit& aLimit)
{
  assert(!aLimit.held.empty() && "a request needs a permit");
  aLimit.held.erase(aLimit.held.begin());
}

std::optional<base::Instant>
NextPermitAt(const RateLimit& aLimit, base::Instant aUntil)
{
  int64_t last = NumberAt(aLimit, aUntil);
  for (int64_t number = aLimit.lastIssued + 1; number <= last; ++number) {
    if (IsOwn(aLimit, number)) {
      return IssuedAt(aLimit, number);
    }
  }
  return std::nullopt;
}

} // namespace sapphirewind::dispatch
