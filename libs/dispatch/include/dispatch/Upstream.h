/// @file What one instance knows of one upstream server, and the choice between servers.
///
/// The choice compares the latency to expect of each server: distance, learnt speed, work in front,
/// and requests that are overdue there. A pause therefore turns new requests away while it lasts,
/// and a slow server is left once that costs less than the way to another.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sapphirewind::dispatch {

/// The learnt time that an upstream of usual speed works on one request of a route.
struct ServiceTimeEstimate
{
  base::Duration mean = std::chrono::milliseconds(10);
  size_t samples = 0;
};

/// A request that was sent and not answered.
struct OutstandingRequest
{
  base::Instant sentAt;
  /// The latency that was expected when it was sent.
  base::Duration expected{ 0 };

  auto operator<=>(const OutstandingRequest&) const = default;
};

/// One upstream server. Plain data; the functions below decide.
struct Upstream
{
  /// Network time there and back.
  base::Duration roundTrip{ 0 };
  unsigned slots = 1;
  /// Connections that this instance may hold there.
  unsigned maxInFlight = 1;
  bool draining = false;
  /// How its service time compares with the usual; above 1 is slower.
  double slowdown = 1.0;
  base::Instant slowdownAt{};
  base::Instant coldUntil{};
  std::map<uint64_t, OutstandingRequest> outstanding;
  /// Requests running and waiting there by its own word, and when it said so.
  unsigned reportedLoad = 0;
  base::Instant reportedAt{};
  /// The share of recent requests that it refused or failed.
  double failureRate = 0.0;
  base::Instant failureRateAt{};
  unsigned consecutiveFailures = 0;
  base::Instant ejectedUntil{};
};

/// What an upstream says of its load in an answer.
struct LoadReport
{
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;

  auto operator<=>(const LoadReport&) const = default;
};

/// Learnt slowness halves its distance from 1 in this time without answers, so that a server which
/// recovered is found out.
constexpr base::Duration kSlowdownHalfLife = std::chrono::seconds(3);
/// What a failed attempt costs a request, in time: it is noticed, and sent elsewhere out of a
/// budget that others need as well.
constexpr base::Duration kFailurePenalty = std::chrono::milliseconds(150);
/// A reported load says nothing after this time: a few service times.
constexpr base::Duration kLoadReportLifetime = std::chrono::milliseconds(100);
/// The first ejection lasts this long, each further one twice as long up to the longest.
constexpr base::Duration kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr base::Duration kMaxEjectionTime = std::chrono::seconds(4);
/// How much slower a server is that has just started, as the platform's servers are.
constexpr double kColdStartSlowdown = 1.6;

/// The latency to expect of a request that is sent now, if it is answered.
base::Duration
ExpectedLatency(const Upstream& aUpstream,
                const ServiceTimeEstimate& aServiceTime,
                base::Instant aNow);

/// Whether a request may be sent there: it is not leaving and this instance has a connection left.
bool
HasCapacity(const Upstream& aUpstream);

bool
IsEjected(const Upstream& aUpstream, base::Instant aNow);

/// The server to send to: the one with the least latency to expect, among those with room that are
/// not in aTried; ejected ones only when there is no other. Empty when there is none.
std::optional<size_t>
ChooseUpstream(std::span<const Upstream* const> aUpstreams,
               const std::vector<size_t>& aExcluded,
               const ServiceTimeEstimate& aServiceTime,
               base::Instant aNow,
               base::Random& aRandom);

void
OnSent(Upstream& aUpstream, uint64_t aRequest, base::Duration aExpected, base::Instant aNow);

/// A usable answer came; teaches the server's speed and the route's work.
void
OnAnswered(Upstream& aUpstream,
           ServiceTimeEstimate& aServiceTime,
           uint64_t aRequest,
           base::Instant aNow);

/// The server refused the request, which says nothing of its speed.
void
OnRefused(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow);

/// Nobody waits for the answer any more; the server takes at least as long as it took.
void
OnCancelled(Upstream& aUpstream,
            const ServiceTimeEstimate& aServiceTime,
            uint64_t aRequest,
            base::Instant aNow);

/// No connection, no answer, or one that cannot be used. Ejects the server from the second failure
/// in a row on.
void
OnFailed(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow);

void
OnLoadReport(Upstream& aUpstream, const LoadReport& aReport, base::Instant aNow);

} // namespace sapphirewind::dispatch
