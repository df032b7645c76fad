/// @file State shared by the components of an instance: quarantined requests, leaving servers,
/// counters.
#pragma once

#include <array>
#include <atomic>
#include <base/Time.h>
#include <map>
#include <mutex>
#include <quarantine/Quarantine.h>
#include <string>
#include <unordered_set>
#include <vector>

namespace sapphirewind::tier {

/// The quarantine table behind a lock, with the fingerprints of requests known to be harmless.
/// Thread-safe.
class SharedQuarantine
{
public:
  quarantine::QuarantineState StateOf(quarantine::Fingerprint aFingerprint,
                                      base::Instant aNow) const;
  quarantine::QuarantineState OnServerLost(quarantine::Fingerprint aFingerprint,
                                           const std::string& aServer,
                                           bool aRanIsolated,
                                           base::Instant aNow);
  void OnAnswered(quarantine::Fingerprint aFingerprint, base::Instant aNow);
  void OnPeerQuarantined(const quarantine::QuarantinedRequest& aQuarantined, base::Instant aNow);
  std::vector<quarantine::QuarantinedRequest> ListQuarantined(base::Instant aNow) const;

  /// Whether a server was lost within kRecentLossWindow while it ran a request that has not been
  /// cleared since. A request not known to be harmless then waits for the complete answer of its
  /// canary group.
  bool HasRecentLoss(base::Instant aNow) const;
  /// Removes expired records.
  void RemoveExpired(base::Instant aNow);

  /// Whether an upstream has answered this request before; such a request needs no canary.
  bool IsKnownHarmless(quarantine::Fingerprint aFingerprint) const;

private:
  mutable std::mutex mutex;
  quarantine::QuarantineTable table;
  /// Two generations: when the young one reaches its limit, it replaces the old one.
  std::unordered_set<quarantine::Fingerprint> harmlessYoung;
  std::unordered_set<quarantine::Fingerprint> harmlessOld;
};

/// A server reported as leaving, with the remaining time for which the report is valid.
struct LeavingServer
{
  std::string server;
  base::Duration remaining{ 0 };

  auto operator<=>(const LeavingServer&) const = default;
};

/// How long a report that a server is leaving is valid.
constexpr base::Duration kLeavingTtl = std::chrono::seconds(15);

/// Servers that announced that they are leaving, or that a peer reported as leaving. Thread-safe.
class LeavingServers
{
public:
  /// Returns whether the server was not marked as leaving before.
  bool MarkLeaving(const std::string& aServer, base::Duration aRemaining, base::Instant aNow);
  bool IsLeaving(const std::string& aServer, base::Instant aNow) const;
  std::vector<LeavingServer> List(base::Instant aNow) const;

private:
  mutable std::mutex mutex;
  std::map<std::string, base::Instant> leavingUntil;
};

/// Counts of attempts sent to upstreams and of calls to the platform's store since the start.
struct Counters
{
  std::atomic<uint64_t> firstAttempts{ 0 };
  std::atomic<uint64_t> hedges{ 0 };
  std::atomic<uint64_t> retries{ 0 };
  std::atomic<uint64_t> cancelled{ 0 };
  std::atomic<uint64_t> discarded{ 0 };
  std::atomic<uint64_t> droppedEarly{ 0 };
  std::atomic<uint64_t> serversLost{ 0 };
  std::atomic<uint64_t> storeCalls{ 0 };
};

} // namespace sapphirewind::tier
