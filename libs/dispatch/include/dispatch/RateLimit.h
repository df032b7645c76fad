/// @file This instance's part of the request rate that a server accepts from all instances.
///
/// The loads that this answers: a server in need that names a rate far below what it usually gets,
/// and hundreds or thousands of instances that each may send it one request in seconds or minutes.
///
/// Instances do not exchange anything about it. A server's permits are numbered by the time of day,
/// evenly spaced at its rate, and a hash of server and number says which instance owns one. So all
/// instances together send at the server's rate without clumps while their lists of the instances
/// and their clocks agree, and nearly so while these differ. An unused permit lapses soon:
/// otherwise each of thousands of instances could hold one, and a burst of callers would spend all
/// at once.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <dispatch/InstanceShare.h>
#include <optional>
#include <vector>

namespace sapphirewind::dispatch {

/// An unused permit lapses after this time. All instances together send, in a time t, at most what
/// the rate gives in t plus this.
constexpr base::Duration kPermitLifetime = std::chrono::seconds(1);

struct RateLimitOptions
{
  /// Identifies the server.
  uint64_t server = 0;
  /// The rate that the server names, in requests a second of all instances.
  double serverRate = 1.0;
  /// The part of the permits that is this instance's.
  InstanceArc arc;
  /// The time of day minus the monotonic clock, as of the server's last answer.
  base::Duration wallOffset{ 0 };

  auto operator<=>(const RateLimitOptions&) const = default;
};

/// Permits for one server while it names a rate. Plain data; the functions below implement the
/// policy.
struct RateLimit
{
  RateLimitOptions options;
  /// The last permit of which it is known whose it is.
  int64_t lastIssued = 0;
  /// This instance's permits that are neither used nor lapsed, in ascending order.
  std::vector<int64_t> held;

  auto operator<=>(const RateLimit&) const = default;
};

/// Starts issuing permits.
RateLimit
MakeRateLimit(const RateLimitOptions& aOptions, base::Instant aNow);

/// Applies a new rate, part or clock to the permits from now on.
void
UpdateRateLimit(RateLimit& aLimit, const RateLimitOptions& aOptions, base::Instant aNow);

/// Issues the permits up to now and drops those that have lapsed. Call before HasPermit.
void
IssuePermits(RateLimit& aLimit, base::Instant aNow);

inline bool
HasPermit(const RateLimit& aLimit)
{
  return !aLimit.held.empty();
}

/// Uses the oldest permit. Precondition: there is one.
void
UsePermit(RateLimit& aLimit);

/// When this instance gets its next permit, if before aUntil. Precondition: it has none now.
std::optional<base::Instant>
NextPermitAt(const RateLimit& aLimit, base::Instant aUntil);

} // namespace sapphirewind::dispatch
