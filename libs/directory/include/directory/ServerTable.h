/// @file Which upstreams exist, from entries that appear, change and lapse in the platform's store.
///
/// Entries also lapse while the store itself is away, although their upstreams live. Such an entry
/// is kept until the upstreams had time to register again after the store's return.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::directory {

/// One upstream as it registered itself.
struct Server
{
  /// Unique to one start of the upstream, except that a restart may keep it; see startedAtMs.
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  unsigned slots = 1;
  bool draining = false;
  /// How much longer it is slow after its start, when the entry was written.
  base::Duration coldRemaining{ 0 };
  /// Unix milliseconds of its start; 0 when it does not say.
  int64_t startedAtMs = 0;

  auto operator<=>(const Server&) const = default;
};

/// How long after the store's return a lapsed entry may take to come back: the platform promises
/// about two seconds.
constexpr base::Duration kReregistrationGrace = std::chrono::milliseconds(2000);

/// The known upstreams. Plain state over which the functions below decide.
struct ServerTable
{
  struct Entry
  {
    Server server;
    uint64_t revision = 0;
    /// Set when the entry lapsed around an outage: when it is given up.
    std::optional<base::Instant> expiresAt;
  };

  std::map<std::string, Entry> entries;
  bool storeUnavailable = false;
  base::Instant storeRecoveredAt{};
};

/// Takes in an entry; returns whether anything that matters changed.
bool
Upsert(ServerTable& aTable, const Server& aServer, uint64_t aRevision);

/// Takes in that an entry was removed at a revision. Near an outage of the store it lapses later.
/// Returns whether it is gone now.
bool
Remove(ServerTable& aTable, const std::string& aId, uint64_t aRevision, base::Instant aNow);

/// One entry of a whole list.
struct ListedServer
{
  Server server;
  uint64_t revision = 0;
};

/// Takes in a whole list: entries that it lacks are removed as by Remove.
bool
ReplaceAll(ServerTable& aTable,
           const std::vector<ListedServer>& aServers,
           uint64_t aRevision,
           base::Instant aNow);

void
OnStoreUnavailable(ServerTable& aTable);

void
OnStoreRecovered(ServerTable& aTable, base::Instant aNow);

/// Drops entries whose grace is over; returns whether there were any.
bool
RemoveExpired(ServerTable& aTable, base::Instant aNow);

} // namespace sapphirewind::directory
