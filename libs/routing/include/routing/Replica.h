/// @file The state an owner keeps of one upstream server, and the decisions over it.
///
/// What the owner saw itself goes first: work in flight, latency, refusals. A reported load can
/// only make a server less loved, and counts for a short time.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sapphirewind::routing {

/// One upstream server as its owner sees it. Plain data; the functions below decide.
struct Replica
{
  std::string name;
  /// Whether the server stands in the owner's own region.
  bool local = true;
  bool leaving = false;
  /// The most requests in flight that the owner may have here.
  size_t maxInFlight = 1;
  /// The adaptive bound on requests in flight, at most maxInFlight.
  double limit = 1.0;
  size_t inFlight = 0;
  /// Set while a suspect request runs here alone or waits to.
  bool reserved = false;
  /// Exponentially weighted latency of finished attempts, in milliseconds.
  double latencyMs = 0.0;
  size_t samples = 0;
  size_t consecutiveFailures = 0;
  size_t ejections = 0;
  base::Instant ejectedUntil{};
  /// When the server came or came back; its limit grows from one from here.
  base::Instant slowStartAt{};
  bool inSlowStart = false;
  size_t consecutiveSheds = 0;
  base::Instant backoffUntil{};
  /// The load it reports (work over slots), and when it said so.
  double reportedLoad = 0.0;
  base::Instant reportedAt{};
};

/// How long a server takes to be trusted with its full limit.
constexpr base::Duration kSlowStart = std::chrono::seconds(5);
/// A reported load counts for this long.
constexpr base::Duration kLoadReportLifetime = std::chrono::seconds(2);

/// Whether new work may be sent to a server, room aside.
bool
IsAvailable(const Replica& aReplica, base::Instant aNow);

/// How many requests it may have in flight now.
size_t
EffectiveLimit(const Replica& aReplica, base::Instant aNow);

bool
HasRoom(const Replica& aReplica, base::Instant aNow);

/// The expected cost of one more request here; lower is better.
double
Cost(const Replica& aReplica, base::Instant aNow);

/// Why an attempt ended badly.
enum class FailureKind
{
  ConnectFailed,  ///< No connection.
  ConnectionLost, ///< Lost after sending.
  Timeout,        ///< No answer in time.
  InvalidResponse ///< An answer that cannot be used.
};

/// The server to send to: the cheapest at home with room; another region's only when no server at
/// home is available. Servers in aTried are used only when no other is available at all.
/// Empty when the request should wait.
std::optional<size_t>
PickReplica(std::span<const Replica> aReplicas,
            const std::vector<std::string>& aTried,
            base::Instant aNow,
            base::Random& aRandom);

/// The baseline for comparison: any server that is not leaving, whatever its load.
std::optional<size_t>
PickRandomReplica(std::span<const Replica> aReplicas, base::Random& aRandom);

void
OnSent(Replica& aReplica);

/// An answer came after a time.
void
OnAnswered(Replica& aReplica, base::Duration aLatency, base::Instant aNow);

/// An attempt was given up after a time; the latency is at least that.
void
OnAbandoned(Replica& aReplica, base::Duration aElapsed);

void
OnFailed(Replica& aReplica, FailureKind aKind, base::Instant aNow);

/// The server refused an attempt for a reason that says nothing of its health.
void
OnRefused(Replica& aReplica);

/// The server refused for load. Backs off with jitter, longer each time in a row.
void
OnShed(Replica& aReplica, base::Instant aNow, base::Random& aRandom);

void
OnLoadReport(Replica& aReplica, double aLoad, base::Instant aNow);

/// Starts a server at one request in flight.
void
BeginSlowStart(Replica& aReplica, base::Instant aNow);

/// Ejects servers that are far slower than the median of the others or keep failing. Never more
/// than half of those that serve. Returns the indexes newly ejected.
std::vector<size_t>
EjectOutliers(std::span<Replica> aReplicas, base::Instant aNow);

} // namespace sapphirewind::routing
