/// @file Which requests are kept from upstreams because upstreams were lost under them.
///
/// A request that was on a server when the server was lost becomes suspect: it is tried again
/// alone. One that loses a second, different server while it runs there alone is condemned for a
/// stated time. Requests that merely shared a lost server succeed alone and are cleared, and
/// servers that die together, as in a rack, condemn nobody.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::quarantine {

/// Identifies a request by what an upstream would run.
using Fingerprint = uint64_t;

Fingerprint
FingerprintOf(const std::string& aService, const std::string& aQuery);

enum class QuarantineState
{
  Clear,
  Suspect,    ///< May run only alone.
  Quarantined ///< May not run.
};

/// One request's record.
struct RequestRecord
{
  /// The first server lost under it.
  std::string firstLostServer;
  base::Instant suspectUntil{};
  base::Instant quarantinedUntil{};
  /// When a server was last lost under it, or a peer said so.
  base::Instant lastLossAt{};
};

struct QuarantineTable
{
  std::map<Fingerprint, RequestRecord> records;
};

/// How long a suspicion lasts when the request is not seen again.
constexpr base::Duration kSuspicionTime = std::chrono::minutes(5);
/// How long a condemned request is refused.
constexpr base::Duration kQuarantineTime = std::chrono::minutes(10);
/// Records kept at the most; the oldest suspicions give way.
constexpr size_t kMaxRecords = 10'000;

QuarantineState
StateOf(const QuarantineTable& aTable, Fingerprint aFingerprint, base::Instant aNow);

/// A server was lost while a request was on it. Returns the request's standing after that.
QuarantineState
OnServerLost(QuarantineTable& aTable,
             Fingerprint aFingerprint,
             const std::string& aServer,
             bool aRanAlone,
             base::Instant aNow);

/// A suspect request was answered: it is cleared.
void
OnAnswered(QuarantineTable& aTable, Fingerprint aFingerprint);

/// A peer condemned a request, for a time that remains.
void
OnPeerQuarantined(QuarantineTable& aTable,
                  Fingerprint aFingerprint,
                  base::Duration aRemaining,
                  base::Instant aNow);

/// A peer suspects a request, as a server was lost under it there.
void
OnPeerSuspected(QuarantineTable& aTable,
                Fingerprint aFingerprint,
                const std::string& aServer,
                base::Instant aNow);

/// A condemned request with the time that remains, to tell peers.
struct QuarantinedRequest
{
  Fingerprint fingerprint = 0;
  base::Duration remaining{ 0 };

  auto operator<=>(const QuarantinedRequest&) const = default;
};

std::vector<QuarantinedRequest>
ListQuarantined(const QuarantineTable& aTable, base::Instant aNow);

/// How long after a loss that is not cleared up unknown requests are tried strictly one at a time.
constexpr base::Duration kRecentLossWindow = std::chrono::minutes(1);

/// Whether some request that brought a server down, or may have, is about.
bool
HasRecentLoss(const QuarantineTable& aTable, base::Instant aNow);

/// Drops records whose time is over.
void
RemoveExpired(QuarantineTable& aTable, base::Instant aNow);

} // namespace sapphirewind::quarantine
