/// @file The decision whether an instance may send a request to an upstream, and if not, why. Every
/// reason that lies with the server is here; whether a request may be sent at all (suspect,
/// quarantined, out of attempts) is decided by quarantine and dispatch/Outcome.
///
/// It answers releases and scale-ins, in which servers leave under load, and overload, in which
/// they name what they take.
#pragma once

#include <dispatch/Upstream.h>
#include <optional>

namespace sapphirewind::dispatch {

/// Why a server is avoided, in ascending order of severity.
enum class Restriction
{
  None,
  Ejected,     ///< It failed repeatedly: used only if no server without a restriction is left.
  Leaving,     ///< It said that it leaves: the last resort, until it counts as Left.
  Full,        ///< This instance uses its whole part of the server's connections.
  RateLimited, ///< This instance has no permit for the request rate that the server names.
  Resuming,    ///< A time in which it wanted nothing is over; it takes this instance's work step by
               ///< step.
  Held,        ///< It wants nothing for a time that it named.
  Left,        ///< It said that it leaves, longer ago than it goes on serving.
  Draining     ///< Its entry in the store is draining or gone, or its address has another owner.
};

/// Name for logs.
const char*
NameOf(Restriction aRestriction);

/// The most severe restriction. Precondition: the server's permits are issued up to now.
Restriction
RestrictionOf(const Upstream& aUpstream, base::Instant aNow);

/// Since when a restriction applies; empty where no such time is kept.
std::optional<base::Instant>
RestrictedSince(const Upstream& aUpstream, Restriction aRestriction);

/// Whether a restriction forbids to send a request, as opposed to other servers being preferred.
bool
IsForbidden(Restriction aRestriction);

/// Whether the server takes no further request of this instance until it is started again or its
/// entry changes.
bool
IsOutOfService(Restriction aRestriction);

/// Whether a request may be sent now. Precondition: as for RestrictionOf.
bool
HasCapacity(const Upstream& aUpstream, base::Instant aNow);

/// Whether this instance may have capacity at the server before a time. False only if the server is
/// out of service, wants nothing until then, or limits its request rate and the next permit comes
/// later. Precondition: as for RestrictionOf.
bool
MayHaveCapacity(const Upstream& aUpstream, base::Instant aNow, base::Instant aBefore);

/// Interval at which a server that wanted nothing takes one more request of this instance at once.
/// Its other callers come back at the same moment.
constexpr base::Duration kResumeInterval = std::chrono::milliseconds(100);
/// How long it is given work by degrees.
constexpr base::Duration kResumeTime = std::chrono::milliseconds(1000);

/// Retry-After of a request for which no server is available before a time: callers of the most
/// urgent rank, 0, return first, and those of one rank spread over an interval. aRandom: from 0
/// to 1.
base::Duration
RetryDelay(base::Duration aUntilAvailable, unsigned aRank, double aRandom);

/// The interval over which callers of one rank return.
constexpr base::Duration kReturnInterval = std::chrono::milliseconds(100);

} // namespace sapphirewind::dispatch
