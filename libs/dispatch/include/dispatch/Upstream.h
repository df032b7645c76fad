/// @file Statistics that one instance keeps for one upstream server, and server selection.
///
/// Selection compares the expected latency of each server, estimated from network round trip,
/// measured slowdown, queued requests and requests that are overdue there. While a server is
/// paused, its overdue requests raise the estimate and new requests go elsewhere. A slow server is
/// avoided once its slowdown costs more than the longer round trip to another server.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <cstdint>
#include <dispatch/RateLimit.h>
#include <dispatch/ServerStatements.h>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sapphirewind::dispatch {

/// Estimated service time of one request of a route at an upstream of average speed.
struct ServiceTimeEstimate
{
  base::Duration mean = std::chrono::milliseconds(10);
  size_t samples = 0;
};

/// A request that was sent and has no answer yet.
struct OutstandingRequest
{
  base::Instant sentAt;
  /// Expected latency when the request was sent.
  base::Duration expected{ 0 };

  auto operator<=>(const OutstandingRequest&) const = default;
};

/// State of one upstream server. Plain data; the functions below implement the policy.
struct Upstream
{
  /// Network round-trip time.
  base::Duration roundTrip{ 0 };
  /// Whether the server is in another region, where traffic is charged.
  bool isRemote = false;
  unsigned slots = 1;
  /// Maximum number of connections from this instance to the server.
  unsigned maxInFlight = 1;
  /// Set when the store's entry is draining or gone, or the address has another owner.
  bool draining = false;
  base::Instant drainingSince{};
  /// What the server said of itself.
  ServerStatement statement;
  /// Identifies the server among those that limit their request rate.
  uint64_t permitSeed = 0;
  /// This instance's part of the requests that the server accepts while it limits their rate.
  InstanceArc permitArc;
  /// Set while the server names a rate.
  std::optional<RateLimit> rateLimit;
  /// When the request was sent whose answer named the rate, or none, last.
  base::Instant rateReportSentAt{};
  /// Ratio of the server's service time to the route's average; above 1 is slower.
  double slowdown = 1.0;
  base::Instant slowdownAt{};
  base::Instant coldUntil{};
  std::map<uint64_t, OutstandingRequest> outstanding;
  /// Requests running and queued at the server as of its last load report, and the time of that
  /// report.
  unsigned reportedLoad = 0;
  base::Instant reportedAt{};
  /// The reported ratio of the time that work takes on the server's machine to the usual, and the
  /// time of that report.
  double reportedSlowdown = 1.0;
  base::Instant reportedSlowdownAt{};
  /// Moving average of the fraction of requests that the server refused or failed.
  double failureRate = 0.0;
  base::Instant failureRateAt{};
  unsigned consecutiveFailures = 0;
  base::Instant ejectedUntil{};
};

/// Load that an upstream reports in an answer.
struct LoadReport
{
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
  /// How long work takes on the server's machine at the moment, in percent of the usual.
  std::optional<unsigned> workPercent;

  auto operator<=>(const LoadReport&) const = default;
};

/// Without new answers, the slowdown decays towards 1 with this half-life, so that a server that is
/// no longer selected is tried again and its recovery is detected. The failure rate decays towards
/// 0 likewise.
constexpr base::Duration kSlowdownHalfLife = std::chrono::seconds(3);
/// Latency equivalent of a failed attempt: the time to detect the failure, and a retry from a
/// budget that other requests share.
constexpr base::Duration kFailurePenalty = std::chrono::milliseconds(150);
/// A reported slowdown decays towards 1 with this half-life: machines change their pace many times
/// a second.
constexpr base::Duration kReportedSlowdownHalfLife = std::chrono::milliseconds(300);
/// A load report is ignored after this time, which is a few service times.
constexpr base::Duration kLoadReportLifetime = std::chrono::milliseconds(100);
/// Duration of the first ejection. Each further consecutive failure doubles it, up to the maximum.
constexpr base::Duration kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr base::Duration kMaxEjectionTime = std::chrono::seconds(4);
/// Minimum slowdown assumed during a cold start; typical of the platform's servers.
constexpr double kColdStartSlowdown = 1.6;

/// Expected latency of a request that is sent now, provided that it is answered.
base::Duration
ExpectedLatency(const Upstream& aUpstream,
                const ServiceTimeEstimate& aServiceTime,
                base::Instant aNow);

bool
IsEjected(const Upstream& aUpstream, base::Instant aNow);

/// Selects the server with the lowest expected cost among those that have capacity and are not in
/// aExcluded. Ejected servers are selected only when there is no other, and leaving ones only if
/// there is no ejected one either. Empty when there is none.
std::optional<size_t>
ChooseUpstream(std::span<const Upstream* const> aUpstreams,
               const std::vector<size_t>& aExcluded,
               const ServiceTimeEstimate& aServiceTime,
               base::Instant aNow,
               base::Random& aRandom);

void
OnSent(Upstream& aUpstream, uint64_t aRequest, base::Duration aExpected, base::Instant aNow);

/// Handles a valid answer: updates the server's slowdown and the route's service time.
void
OnAnswered(Upstream& aUpstream,
           ServiceTimeEstimate& aServiceTime,
           uint64_t aRequest,
           base::Instant aNow);

/// Handles a refusal by the server; its slowdown does not change.
void
OnRefused(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow);

/// Handles an attempt that was cancelled before its answer. The elapsed time is a lower bound of
/// the service time, so it can only raise the slowdown.
void
OnCancelled(Upstream& aUpstream,
            const ServiceTimeEstimate& aServiceTime,
            uint64_t aRequest,
            base::Instant aNow);

/// Handles a failed connection, a missing answer or an invalid one. Ejects the server from the
/// second consecutive failure on.
void
OnFailed(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow);

/// The request rate for all instances together that an answer names, if any.
struct RateReport
{
  std::optional<double> perSecond;
  /// When the request was sent. Answers overtake each other; an older one does not count.
  base::Instant sentAt{};
  /// The time of day minus the monotonic clock.
  base::Duration wallOffset{ 0 };
};

/// Handles an answer's request rate, or that it names none.
void
OnRateReport(Upstream& aUpstream, const RateReport& aReport, base::Instant aNow);

/// Changes this instance's part of a request rate that the server names.
void
SetPermitArc(Upstream& aUpstream, const InstanceArc& aArc, base::Instant aNow);

/// Issues the permits of a server that limits its request rate. Call before choosing a server.
void
IssuePermits(Upstream& aUpstream, base::Instant aNow);

void
OnLoadReport(Upstream& aUpstream, const LoadReport& aReport, base::Instant aNow);

} // namespace sapphirewind::dispatch
