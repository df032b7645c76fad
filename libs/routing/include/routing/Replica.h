/// @file The state that an owner keeps per upstream server, and the load-balancing decisions on it.
///
/// The owner's own measurements (requests in flight, latency, rejections) take precedence. A load
/// reported by a server can only raise its cost, and is used for a short time only.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sapphirewind::routing {

/// The state of one upstream server as observed by its owner. Plain data, changed by the functions
/// below.
struct Replica
{
  std::string name;
  /// Whether the server is in the owner's region.
  bool local = true;
  bool leaving = false;
  /// The owner's hard limit of requests in flight to this server.
  size_t maxInFlight = 1;
  /// The adaptive limit of requests in flight, at most maxInFlight.
  double limit = 1.0;
  size_t inFlight = 0;
  /// Set while the server is reserved for a suspect request, which must be its only one in flight.
  bool reserved = false;
  /// The exponentially weighted moving average of attempt latencies, in milliseconds.
  double latencyMs = 0.0;
  size_t samples = 0;
  size_t consecutiveFailures = 0;
  size_t ejections = 0;
  base::Instant ejectedUntil{};
  /// The start of slow start, at which the limit is 1: the server was added, or its ejection ends.
  base::Instant slowStartAt{};
  bool inSlowStart = false;
  size_t consecutiveSheds = 0;
  base::Instant backoffUntil{};
  /// The last load reported by the server (work divided by slots) and the time of the report.
  double reportedLoad = 0.0;
  base::Instant reportedAt{};
};

/// The duration of slow start, over which the limit grows from 1 to maxInFlight.
constexpr base::Duration kSlowStart = std::chrono::seconds(5);
/// How long a reported load is used.
constexpr base::Duration kLoadReportLifetime = std::chrono::seconds(2);

/// Returns whether new requests may be sent to a server, regardless of free capacity.
bool
IsAvailable(const Replica& aReplica, base::Instant aNow);

/// The limit of requests in flight at this time, including slow start.
size_t
EffectiveLimit(const Replica& aReplica, base::Instant aNow);

bool
HasCapacity(const Replica& aReplica, base::Instant aNow);

/// The expected cost of one more request to this server. Lower is better.
double
Cost(const Replica& aReplica, base::Instant aNow);

/// Why an attempt failed.
enum class FailureKind
{
  ConnectFailed,  ///< The connection could not be established.
  ConnectionLost, ///< The connection was lost after the request was sent.
  Timeout,        ///< No response before the timeout.
  InvalidResponse ///< The response is malformed or unexpected.
};

/// Selects the server for an attempt: the one of lowest cost with free capacity in the local
/// region. Servers of other regions are used only if no local server is available, servers in
/// aTried only if no other server is available. Returns nothing if the request should stay queued.
std::optional<size_t>
PickReplica(std::span<const Replica> aReplicas,
            const std::vector<std::string>& aTried,
            base::Instant aNow,
            base::Random& aRandom);

/// The baseline for benchmarks: a random local server that is not leaving and is below its hard
/// limit, whatever its health and load.
std::optional<size_t>
PickRandomReplica(std::span<const Replica> aReplicas, base::Random& aRandom);

void
OnSent(Replica& aReplica);

/// Records a response and its latency.
void
OnAnswered(Replica& aReplica, base::Duration aLatency, base::Instant aNow);

/// Records an attempt that timed out or was aborted. Its latency is at least aElapsed.
void
OnAbandoned(Replica& aReplica, base::Duration aElapsed);

void
OnFailed(Replica& aReplica, FailureKind aKind, base::Instant aNow);

/// Records an attempt that was not executed for a reason unrelated to the server's health.
void
OnRefused(Replica& aReplica);

/// Records a rejection for overload and lowers the limit. Starts a backoff with jitter, which
/// doubles with each consecutive rejection up to 64 times the base.
void
OnShed(Replica& aReplica, base::Instant aNow, base::Random& aRandom);

void
OnLoadReport(Replica& aReplica, double aLoad, base::Instant aNow);

/// Puts a server into slow start: its limit is 1 now and grows over kSlowStart.
void
BeginSlowStart(Replica& aReplica, base::Instant aNow);

/// Ejects servers that are far slower than the median of the others or fail repeatedly, never more
/// than half of the servers that are not leaving. Returns the indexes of newly ejected servers.
std::vector<size_t>
EjectOutliers(std::span<Replica> aReplicas, base::Instant aNow);

} // namespace sapphirewind::routing
