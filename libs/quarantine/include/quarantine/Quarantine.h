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

enum class Standing
{
  Clear,
  Suspect,  ///< May run only alone.
  Condemned ///< May not run.
};

/// One request's record.
struct Record
{
  /// The first server lost under it.
  std::string firstLost;
  base::Instant suspectUntil{};
  base::Instant condemnedUntil{};
  /// When a server was last lost under it, or a peer said so.
  base::Instant lostAt{};
};

struct Register
{
  std::map<Fingerprint, Record> records;
};

/// How long a suspicion lasts when the request is not seen again.
constexpr base::Duration kSuspectTime = std::chrono::minutes(5);
/// How long a condemned request is refused.
constexpr base::Duration kCondemnedTime = std::chrono::minutes(10);
/// Records kept at the most; the oldest suspicions give way.
constexpr size_t kMostRecords = 10'000;

Standing
StandingOf(const Register& aRegister, Fingerprint aFingerprint, base::Instant aNow);

/// A server was lost while a request was on it. Returns the request's standing after that.
Standing
OnServerLost(Register& aRegister,
             Fingerprint aFingerprint,
             const std::string& aServer,
             bool aRanAlone,
             base::Instant aNow);

/// A suspect request was answered: it is cleared.
void
OnAnswered(Register& aRegister, Fingerprint aFingerprint);

/// A peer condemned a request, for a time that remains.
void
OnPeerCondemned(Register& aRegister,
                Fingerprint aFingerprint,
                base::Duration aRemaining,
                base::Instant aNow);

/// A peer suspects a request, as a server was lost under it there.
void
OnPeerSuspect(Register& aRegister,
              Fingerprint aFingerprint,
              const std::string& aServer,
              base::Instant aNow);

/// A condemned request with the time that remains, to tell peers.
struct Condemned
{
  Fingerprint fingerprint = 0;
  base::Duration remaining{ 0 };

  auto operator<=>(const Condemned&) const = default;
};

std::vector<Condemned>
ListCondemned(const Register& aRegister, base::Instant aNow);

/// How long after a loss that is not cleared up unknown requests are tried strictly one at a time.
constexpr base::Duration kAlarmTime = std::chrono::minutes(1);

/// Whether some request that brought a server down, or may have, is about.
bool
IsAlarmed(const Register& aRegister, base::Instant aNow);

/// Drops records whose time is over.
void
Expire(Register& aRegister, base::Instant aNow);

} // namespace sapphirewind::quarantine
