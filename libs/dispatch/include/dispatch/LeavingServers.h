/// @file What an instance remembers of servers that said in an answer that they leave.
///
/// A server says so for one start of its process, and nothing that the store's entries say later
/// takes it back: an entry may still read ready, lapse in an outage and return. So it is remembered
/// by the start, apart from the table of servers.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sapphirewind::dispatch {

/// One start of a server's process.
struct ServerStart
{
  std::string id;
  /// Unix milliseconds; 0 if not reported.
  int64_t startedAtMs = 0;

  auto operator<=>(const ServerStart&) const = default;
};

/// That a server leaves.
struct Leaving
{
  /// When the first answer that said so was read.
  base::Instant since{};
  /// The end of the time in which it may still be sent requests.
  base::Instant usableUntil{};

  auto operator<=>(const Leaving&) const = default;
};

struct LeavingServers
{
  struct Record
  {
    Leaving leaving;
    /// Since when no entry names this start; empty while one does.
    std::optional<base::Instant> unlistedSince;
  };

  /// How long a server may be sent requests after it said that it leaves.
  base::Duration servingTime{ 0 };
  std::map<ServerStart, Record> records;
};

/// How long a start is remembered once no entry names it. Longer than any outage after which an
/// entry that lapsed returns, and than the time after which an address is reused.
constexpr base::Duration kLeavingRetention = std::chrono::minutes(5);
/// Maximum number of starts remembered; the one that was unlisted first is forgotten.
constexpr size_t kMaxLeavingServers = 10'000;

/// Records an answer which says that a server leaves. Only the first one of a start counts.
Leaving
OnServerLeaving(LeavingServers& aServers, const ServerStart& aStart, base::Instant aNow);

std::optional<Leaving>
FindLeaving(const LeavingServers& aServers, const ServerStart& aStart);

/// Records which starts the store's entries name now.
void
SetListed(LeavingServers& aServers, const std::set<ServerStart>& aListed, base::Instant aNow);

/// Forgets starts that no entry has named for kLeavingRetention. One without a start time is
/// forgotten at once, as its id's next start could not be told from it.
void
ForgetUnlisted(LeavingServers& aServers, base::Instant aNow);

} // namespace sapphirewind::dispatch
