#include <dispatch/Restriction.h>

namespace sapphirewind::dispatch {

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
  if (aUpstream.leaving && aNow >= aUpstream.leaving->usableUntil) {
    return Restriction::Left;
  }
  if (aUpstream.rateLimit && !HasPermit(*aUpstream.rateLimit)) {
    return Restriction::RateLimited;
  }
  if (aUpstream.outstanding.size() >= aUpstream.maxInFlight) {
    return Restriction::Full;
  }
  if (aUpstream.leaving) {
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
      return aUpstream.leaving ? std::optional(aUpstream.leaving->since) : std::nullopt;
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
  if (IsOutOfService(RestrictionOf(aUpstream, aNow))) {
    return false;
  }
  return !aUpstream.rateLimit || HasPermit(*aUpstream.rateLimit) ||
         NextPermitAt(*aUpstream.rateLimit, aBefore).has_value();
}

} // namespace sapphirewind::dispatch
