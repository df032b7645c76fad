#include <dispatch/Restriction.h>

#include <algorithm>
#include <limits>

namespace sapphirewind::dispatch {

namespace {

/// Ranks beyond this one return with it.
constexpr unsigned kMaxDelayedRank = 10;

/// How many requests of this instance a server may have at once so long after a time in which it
/// wanted nothing.
size_t
ResumeLimit(base::Duration aSince)
{
  return aSince >= kResumeTime ? std::numeric_limits<size_t>::max()
                               : 1 + static_cast<size_t>(aSince / kResumeInterval);
}

} // namespace

const char*
NameOf(Restriction aRestriction)
{
  switch (aRestriction) {
    case Restriction::None:
      return "none";
    case Restriction::Ejected:
      return "ejected";
    case Restriction::Leaving:
      return "leaving";
    case Restriction::Full:
      return "full";
    case Restriction::RateLimited:
      return "rate_limited";
    case Restriction::Resuming:
      return "resuming";
    case Restriction::Held:
      return "held";
    case Restriction::Left:
      return "left";
    case Restriction::Draining:
      return "draining";
  }
  return "";
}

Restriction
RestrictionOf(const Upstream& aUpstream, base::Instant aNow)
{
  if (aUpstream.draining) {
    return Restriction::Draining;
  }
  if (aUpstream.statement.leaving && aNow >= aUpstream.statement.leaving->usableUntil) {
    return Restriction::Left;
  }
  const std::optional<Hold>& hold = aUpstream.statement.hold;
  if (hold && aNow < hold->until) {
    return Restriction::Held;
  }
  if (hold && aUpstream.outstanding.size() >= ResumeLimit(aNow - hold->until)) {
    return Restriction::Resuming;
  }
  if (aUpstream.rateLimit && !HasPermit(*aUpstream.rateLimit)) {
    return Restriction::RateLimited;
  }
  if (aUpstream.outstanding.size() >= aUpstream.maxInFlight) {
    return Restriction::Full;
  }
  if (aUpstream.statement.leaving) {
    return Restriction::Leaving;
  }
  return aNow < aUpstream.ejectedUntil ? Restriction::Ejected : Restriction::None;
}

std::optional<base::Instant>
RestrictedSince(const Upstream& aUpstream, Restriction aRestriction)
{
  switch (aRestriction) {
    case Restriction::Draining:
      return aUpstream.drainingSince;
    case Restriction::Left:
    case Restriction::Leaving:
      return aUpstream.statement.leaving ? std::optional(aUpstream.statement.leaving->since)
                                         : std::nullopt;
    case Restriction::Held:
    case Restriction::Resuming:
      return aUpstream.statement.hold ? std::optional(aUpstream.statement.hold->since)
                                      : std::nullopt;
    case Restriction::RateLimited:
      return aUpstream.rateReportSentAt;
    default:
      return std::nullopt;
  }
}

bool
IsForbidden(Restriction aRestriction)
{
  return aRestriction >= Restriction::Full;
}

bool
IsOutOfService(Restriction aRestriction)
{
  return aRestriction >= Restriction::Left;
}

bool
HasCapacity(const Upstream& aUpstream, base::Instant aNow)
{
  return !IsForbidden(RestrictionOf(aUpstream, aNow));
}

bool
MayHaveCapacity(const Upstream& aUpstream, base::Instant aNow, base::Instant aBefore)
{
  Restriction restriction = RestrictionOf(aUpstream, aNow);
  if (IsOutOfService(restriction)) {
    return false;
  }
  if (restriction == Restriction::Held) {
    return aUpstream.statement.hold->until < aBefore;
  }
  return !aUpstream.rateLimit || HasPermit(*aUpstream.rateLimit) ||
         NextPermitAt(*aUpstream.rateLimit, aBefore).has_value();
}

base::Duration
RetryDelay(base::Duration aUntilAvailable, unsigned aRank, double aRandom)
{
  base::Duration ranks = kReturnInterval * static_cast<int64_t>(std::min(aRank, kMaxDelayedRank));
  base::Duration spread(
    static_cast<int64_t>(static_cast<double>(kReturnInterval.count()) * aRandom));
  return std::max(aUntilAvailable, base::Duration(0)) + ranks + spread;
}

} // namespace sapphirewind::dispatch
