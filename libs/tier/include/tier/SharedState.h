/// @file Knowledge that an instance's parts share: quarantined requests, leaving servers, counters.
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

/// The quarantine register under a lock, with the requests known to be harmless. Thread-safe.
class SharedQuarantine
{
public:
  quarantine::QuarantineState StateOf(quarantine::Fingerprint aFingerprint,
                                      base::Instant aNow) const;
  quarantine::QuarantineState OnServerLost(quarantine::Fingerprint aFingerprint,
                                           const std::string& aServer,
                                           bool aRanAlone,
                                           base::Instant aNow);
  void OnAnswered(quarantine::Fingerprint aFingerprint, base::Instant aNow);
  void OnPeerQuarantined(const quarantine::QuarantinedRequest& aQuarantined, base::Instant aNow);
  std::vector<quarantine::QuarantinedRequest> ListQuarantined(base::Instant aNow) const;

  /// Whether unknown requests should be tried strictly one group first.
  bool HasRecentLoss(base::Instant aNow) const;
  /// Drops records whose time is over.
  void Expire(base::Instant aNow);

  /// Whether an upstream has answered this request before; such a request needs no canary.
  bool IsKnownHarmless(quarantine::Fingerprint aFingerprint) const;

private:
  mutable std::mutex mutex;
  quarantine::QuarantineTable table;
  /// Two generations: when the young one is full, the old one is dropped.
  std::unordered_set<quarantine::Fingerprint> harmlessYoung;
  std::unordered_set<quarantine::Fingerprint> harmlessOld;
};

/// A server heard to be leaving, with the time for which that counts.
struct LeavingServer
{
  std::string server;
  base::Duration remaining{ 0 };

  auto operator<=>(const LeavingServer&) const = default;
};

/// How long a server's own word that it is leaving counts.
constexpr base::Duration kLeavingTtl = std::chrono::seconds(15);

/// Servers that said themselves, or of which a peer said, that they are leaving. Thread-safe.
class LeavingServers
{
public:
  /// Returns whether that is news.
  bool MarkLeaving(const std::string& aServer, base::Duration aRemaining, base::Instant aNow);
  bool IsLeaving(const std::string& aServer, base::Instant aNow) const;
  std::vector<LeavingServer> List(base::Instant aNow) const;

private:
  mutable std::mutex mutex;
  std::map<std::string, base::Instant> leavingUntil;
};

/// Counts of what was sent to upstreams since the start.
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
