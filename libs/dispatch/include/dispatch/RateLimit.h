/// @file This instance's part of the request rate that a server accepts from all instances.
///
/// The loads that this answers: a server in need that names a rate far below what it usually gets,
/// and hundreds or thousands of instances that each may send it one request in seconds or minutes.
/// Instances do not coordinate. Each gets permits at its part of the rate, from a random moment on,
/// so that the permits of all are spread evenly over time. An unused permit lapses soon: otherwise
/// each of thousands of instances could hold one, and a burst of callers would spend all at once.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <optional>

namespace sapphirewind::dispatch {

/// An unused permit lapses after this time. It bounds the requests of all instances together in a
/// time t to the server's rate times t plus this.
constexpr base::Duration kPermitLifetime = std::chrono::seconds(1);

/// Permits for one server while it names a rate. Plain data; the functions below implement the
/// policy.
struct RateLimit
{
  /// Permits of this instance in a second.
  double perSecond = 0.0;
  /// The permits issued until updatedAt, with the fraction of the next one.
  double issued = 0.0;
  base::Instant updatedAt{};
  /// The number of the last permit that was used or has lapsed.
  int64_t lastUsed = 0;

  auto operator<=>(const RateLimit&) const = default;
};

/// The permits a second of an instance with a share, from 0 to 1, of a server's rate.
double
PermitRate(double aServerRate, double aShare);

/// Starts issuing permits. aPhase, from 0 to 1, must be drawn anew each time; it places the first
/// permit.
RateLimit
MakeRateLimit(double aPerSecond, double aPhase, base::Instant aNow);

/// Changes the rate of further permits.
void
SetRate(RateLimit& aLimit, double aPerSecond, base::Instant aNow);

bool
HasPermit(const RateLimit& aLimit, base::Instant aNow);

/// When the next permit is there: now if one is.
base::Instant
NextPermitAt(const RateLimit& aLimit, base::Instant aNow);

/// Uses a permit. A request that is sent without one, as it may be the only way to learn about the
/// server, counts against later ones.
void
UsePermit(RateLimit& aLimit, base::Instant aNow);

} // namespace sapphirewind::dispatch
