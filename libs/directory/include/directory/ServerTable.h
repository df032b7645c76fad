/// @file Table of the registered upstreams, derived from entries that are created, updated and
/// removed in the platform's store.
///
/// Entries also expire during an outage of the store, although their upstreams are alive. Such an
/// entry is kept after the store's recovery until the upstreams had time to register again. That
/// time is granted once: a later outage interrupts it and does not start it anew.
///
/// The store may also return from an older copy of itself. The first list after that may be
/// outdated: a start of a server that was known to be draining or gone stays so, whatever its entry
/// says, until the server itself has written the entry again.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <directory/ServerStart.h>
#include <directory/StoreEra.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::directory {

/// One upstream as described by its registration.
struct Server
{
  /// Identifies the upstream. A restart usually changes it, but may keep it; see startedAtMs.
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  unsigned slots = 1;
  bool draining = false;
  /// Remaining duration of the cold start when the entry was written.
  base::Duration coldRemaining{ 0 };
  /// Start time in Unix milliseconds; 0 if not reported.
  int64_t startedAtMs = 0;

  auto operator<=>(const Server&) const = default;
};

/// The start of the server's process that an entry describes.
inline ServerStart
StartOf(const Server& aServer)
{
  return { .id = aServer.id, .startedAtMs = aServer.startedAtMs };
}

/// Time with an available store within which an upstream must register again to stay in the table.
/// The platform promises about two seconds from the store's recovery.
constexpr base::Duration kReregistrationGrace = std::chrono::milliseconds(2000);

/// How long an entry of the store's older copy must stand there until it counts as one that its
/// server writes: the store drops the entries of servers that are silent for three heartbeat
/// intervals, some seconds.
constexpr base::Duration kConfirmationTime = std::chrono::seconds(8);
/// How long a start of a server is remembered as draining or gone. Copies are seconds old.
constexpr base::Duration kDepartedRetention = std::chrono::minutes(5);
/// Maximum number of starts remembered as draining or gone; the earliest is forgotten.
constexpr size_t kMaxDeparted = 10'000;

/// The known upstreams. Plain data that the functions below operate on.
struct ServerTable
{
  struct Entry
  {
    Server server;
    StorePosition position;
    /// Set if the entry was removed from the store around an outage: when to drop it. Postponed by
    /// the duration of each later outage.
    std::optional<base::Instant> expiresAt;
  };

  /// An entry of the copy from which the store returned, for a start that was draining or gone.
  struct Unconfirmed
  {
    Server server;
    StorePosition position;
    base::Instant since{};
  };

  std::map<std::string, Entry> entries;
  std::map<std::string, Unconfirmed> unconfirmed;
  /// Starts that were draining or gone, and since when.
  std::map<ServerStart, base::Instant> departed;
  /// The era of the last complete list; empty before the first.
  std::optional<uint64_t> listedEra;
  /// Since when the store is unavailable; empty while it is available.
  std::optional<base::Instant> unavailableSince;
  /// When the last outage ended; empty before the first.
  std::optional<base::Instant> recoveredAt;
};

/// Inserts or updates an entry that its server has written; returns whether the server's data
/// changed. Older positions are ignored.
bool
Upsert(ServerTable& aTable,
       const Server& aServer,
       const StorePosition& aPosition,
       base::Instant aNow);

/// Handles the removal of an entry from the store at a position. Around an outage of the store the
/// entry is kept for a grace period, unless its server is draining. Returns whether it was dropped.
bool
Remove(ServerTable& aTable,
       const std::string& aId,
       const StorePosition& aPosition,
       base::Instant aNow);

/// One entry of a full listing.
struct ListedServer
{
  Server server;
  StorePosition position;
};

/// Applies a full listing of the store: entries missing from it are treated as by Remove. Returns
/// whether the table changed.
bool
ReplaceAll(ServerTable& aTable,
           const std::vector<ListedServer>& aServers,
           const StorePosition& aPosition,
           base::Instant aNow);

/// Starts an outage of the store, unless one is in progress.
void
OnStoreUnavailable(ServerTable& aTable, base::Instant aNow);

/// Ends the outage in progress, if there is one.
void
OnStoreRecovered(ServerTable& aTable, base::Instant aNow);

/// Handles that the store has returned from an older copy: entries that the copy lacks have the
/// same time to return as after an outage. Precedes the first list of the new era.
void
OnStoreReturned(ServerTable& aTable, base::Instant aNow);

/// Takes in entries of the copy that have stood there long enough; returns the ids of their
/// servers.
std::vector<std::string>
TakeConfirmed(ServerTable& aTable, base::Instant aNow);

/// Drops entries whose grace period is over; returns the ids of their servers.
std::vector<std::string>
RemoveExpired(ServerTable& aTable, base::Instant aNow);

} // namespace sapphirewind::directory
