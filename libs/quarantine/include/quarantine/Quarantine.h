/// @file Quarantine of requests that crash upstreams.
///
/// A request that was in progress on a server when the server was lost becomes suspect and is
/// retried in isolation. If another server, or the next start of the same one, is lost while it
/// runs the request in isolation, the request is quarantined for a fixed time. Requests that merely
/// shared a lost server succeed in isolation and are cleared. Servers that fail together, as in a
/// rack failure, put no request into quarantine.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <directory/ServerStart.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::quarantine {

/// Hash of a request's service and query, which identifies what an upstream would execute.
using Fingerprint = uint64_t;

Fingerprint
FingerprintOf(const std::string& aService, const std::string& aQuery);

enum class QuarantineState
{
  Clear,
  Suspect,    ///< Runs only in isolation.
  Quarantined ///< Refused.
};

/// Quarantine record of one request.
struct RequestRecord
{
  /// The first server that was lost while it ran the request.
  directory::ServerStart firstLostServer;
  base::Instant suspectUntil{};
  base::Instant quarantinedUntil{};
  /// Time of the last loss of a server, observed here or first reported by a peer.
  base::Instant lastLossAt{};
};

struct QuarantineTable
{
  std::map<Fingerprint, RequestRecord> records;
};

/// Time after the last loss until a suspect request is cleared without a new attempt.
constexpr base::Duration kSuspicionTime = std::chrono::minutes(5);
/// How long a quarantined request is refused.
constexpr base::Duration kQuarantineTime = std::chrono::minutes(10);
/// Maximum number of records; the record that expires first is evicted.
constexpr size_t kMaxRecords = 10'000;

QuarantineState
StateOf(const QuarantineTable& aTable, Fingerprint aFingerprint, base::Instant aNow);

/// Handles the loss of a server while it ran a request. Returns the request's new state.
QuarantineState
OnServerLost(QuarantineTable& aTable,
             Fingerprint aFingerprint,
             const directory::ServerStart& aServer,
             bool aRanIsolated,
             base::Instant aNow);

/// Clears a suspect request that was answered.
void
OnAnswered(QuarantineTable& aTable, Fingerprint aFingerprint);

/// Handles a peer's report that a request is quarantined for a remaining time.
void
OnPeerQuarantined(QuarantineTable& aTable,
                  Fingerprint aFingerprint,
                  base::Duration aRemaining,
                  base::Instant aNow);

/// Handles a peer's report that a server was lost while it ran a request.
void
OnPeerSuspected(QuarantineTable& aTable,
                Fingerprint aFingerprint,
                const directory::ServerStart& aServer,
                base::Instant aNow);

/// A quarantined request and its remaining time, as reported to peers.
struct QuarantinedRequest
{
  Fingerprint fingerprint = 0;
  base::Duration remaining{ 0 };

  auto operator<=>(const QuarantinedRequest&) const = default;
};

std::vector<QuarantinedRequest>
ListQuarantined(const QuarantineTable& aTable, base::Instant aNow);

/// A suspect or quarantined request, as instances tell each other.
struct KnownRequest
{
  Fingerprint fingerprint = 0;
  QuarantineState state = QuarantineState::Suspect;
  /// The first server that was lost while it ran a suspect request.
  directory::ServerStart firstLostServer;
  /// How long it stays suspect or quarantined.
  base::Duration remaining{ 0 };

  auto operator<=>(const KnownRequest&) const = default;
};

/// What is known of a request; empty if it is clear.
std::optional<KnownRequest>
FindKnown(const QuarantineTable& aTable, Fingerprint aFingerprint, base::Instant aNow);

/// At most aMax suspect and quarantined requests: quarantined ones first, then those with the
/// longest time remaining.
std::vector<KnownRequest>
ListKnown(const QuarantineTable& aTable, base::Instant aNow, size_t aMax);

/// Takes over what a peer knows of a request.
void
OnPeerKnown(QuarantineTable& aTable, const KnownRequest& aKnown, base::Instant aNow);

/// Time after an unresolved loss during which unknown requests are tried strictly one at a time.
constexpr base::Duration kRecentLossWindow = std::chrono::minutes(1);

/// Whether a request that crashed a server, or may have crashed one, was recorded recently.
bool
HasRecentLoss(const QuarantineTable& aTable, base::Instant aNow);

/// Drops records whose suspicion and quarantine are over.
void
RemoveExpired(QuarantineTable& aTable, base::Instant aNow);

} // namespace sapphirewind::quarantine
