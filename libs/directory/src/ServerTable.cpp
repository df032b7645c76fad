#include <directory/ServerTable.h>

#include <algorithm>
#include <set>

namespace sapphirewind::directory {

namespace {

/// The time from which an entry that is removed now may register again; empty if no outage explains
/// the removal.
std::optional<base::Instant>
ReregistrationStart(const ServerTable& aTable, base::Instant aNow)
{
  if (aTable.unavailableSince) {
    return aNow;
  }
  bool recentlyRecovered = aTable.recoveredAt && aNow < *aTable.recoveredAt + kReregistrationGrace;
  return recentlyRecovered ? aTable.recoveredAt : std::nullopt;
}

/// Remembers a start of a server as draining or gone.
void
RecordDeparture(ServerTable& aTable, const Server& aServer, base::Instant aNow)
{
  if (aTable.departed.size() >= kMaxDeparted) {
    aTable.departed.erase(std::min_element(
      aTable.departed.begin(), aTable.departed.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  aTable.departed[StartOf(aServer)] = aNow;
}

void
Erase(ServerTable& aTable,
      std::map<std::string, ServerTable::Entry>::iterator aEntry,
      base::Instant aNow)
{
  RecordDeparture(aTable, aEntry->second.server, aNow);
  aTable.entries.erase(aEntry);
}

/// Sets the expiry of an entry around an outage, erases it otherwise; returns whether it was
/// erased.
bool
ExpireOrErase(ServerTable& aTable,
              std::map<std::string, ServerTable::Entry>::iterator aEntry,
              base::Instant aNow)
{
  ServerTable::Entry& entry = aEntry->second;
  std::optional<base::Instant> start = ReregistrationStart(aTable, aNow);
  bool mayReregister = !entry.server.draining && (start || entry.expiresAt);
  if (!mayReregister) {
    Erase(aTable, aEntry, aNow);
    return true;
  }
  if (!entry.expiresAt) {
    entry.expiresAt = *start + kReregistrationGrace;
  }
  return false;
}

/// Whether a listed entry may be that of the copy from which the store returned, of a start that
/// has been draining or gone since.
bool
NeedsConfirmation(const ServerTable& aTable, const ListedServer& aListed, bool aIsFirstOfEra)
{
  bool mayBeOutdated =
    !aListed.server.draining && aTable.departed.count(StartOf(aListed.server)) > 0;
  auto waiting = aTable.unconfirmed.find(aListed.server.id);
  bool isWaiting =
    waiting != aTable.unconfirmed.end() && waiting->second.position == aListed.position;
  return mayBeOutdated && (aIsFirstOfEra || isWaiting);
}

} // namespace

bool
Upsert(ServerTable& aTable,
       const Server& aServer,
       const StorePosition& aPosition,
       base::Instant aNow)
{
  auto [entry, isNew] = aTable.entries.try_emplace(aServer.id);
  if (!isNew && entry->second.position > aPosition) {
    return false;
  }
  bool changed = isNew || entry->second.server != aServer;
  bool isNextStart = !isNew && StartOf(entry->second.server) != StartOf(aServer);
  if (isNextStart) {
    RecordDeparture(aTable, entry->second.server, aNow);
  }
  entry->second = ServerTable::Entry{ .server = aServer, .position = aPosition };
  aTable.unconfirmed.erase(aServer.id);
  if (aServer.draining) {
    RecordDeparture(aTable, aServer, aNow);
  } else {
    aTable.departed.erase(StartOf(aServer));
  }
  return changed;
}

bool
Remove(ServerTable& aTable,
       const std::string& aId,
       const StorePosition& aPosition,
       base::Instant aNow)
{
  auto waiting = aTable.unconfirmed.find(aId);
  if (waiting != aTable.unconfirmed.end() && waiting->second.position <= aPosition) {
    aTable.unconfirmed.erase(waiting);
  }
  auto entry = aTable.entries.find(aId);
  if (entry == aTable.entries.end() || entry->second.position > aPosition) {
    return false;
  }
  return ExpireOrErase(aTable, entry, aNow);
}

bool
ReplaceAll(ServerTable& aTable,
           const std::vector<ListedServer>& aServers,
           const StorePosition& aPosition,
           base::Instant aNow)
{
  bool isFirstOfEra = aTable.listedEra && *aTable.listedEra < aPosition.era;
  aTable.listedEra = aPosition.era;
  bool changed = false;
  std::set<std::string> listed;
  std::map<std::string, ServerTable::Unconfirmed> unconfirmed;
  for (const ListedServer& server : aServers) {
    if (NeedsConfirmation(aTable, server, isFirstOfEra)) {
      auto waiting = aTable.unconfirmed.find(server.server.id);
      bool waits = !isFirstOfEra && waiting != aTable.unconfirmed.end();
      unconfirmed[server.server.id] = { .server = server.server,
                                        .position = server.position,
                                        .since = waits ? waiting->second.since : aNow };
      continue;
    }
    listed.insert(server.server.id);
    changed = Upsert(aTable, server.server, server.position, aNow) || changed;
  }
  aTable.unconfirmed = std::move(unconfirmed);
  for (auto entry = aTable.entries.begin(); entry != aTable.entries.end();) {
    auto current = entry++;
    bool missing = listed.count(current->first) == 0 && current->second.position <= aPosition;
    if (missing && !current->second.expiresAt) {
      changed = ExpireOrErase(aTable, current, aNow) || changed;
    }
  }
  return changed;
}

void
OnStoreUnavailable(ServerTable& aTable, base::Instant aNow)
{
  if (!aTable.unavailableSince) {
    aTable.unavailableSince = aNow;
  }
}

void
OnStoreRecovered(ServerTable& aTable, base::Instant aNow)
{
  if (!aTable.unavailableSince) {
    return;
  }
  for (auto& [id, entry] : aTable.entries) {
    if (entry.expiresAt) {
      base::Instant startedAt = *entry.expiresAt - kReregistrationGrace;
      *entry.expiresAt += aNow - std::max(startedAt, *aTable.unavailableSince);
    }
  }
  aTable.unavailableSince.reset();
  aTable.recoveredAt = aNow;
}

void
OnStoreReturned(ServerTable& aTable, base::Instant aNow)
{
  // During an outage the time starts with its end.
  if (!aTable.unavailableSince) {
    aTable.recoveredAt = aNow;
  }
}

std::vector<std::string>
TakeConfirmed(ServerTable& aTable, base::Instant aNow)
{
  std::vector<std::string> confirmed;
  auto waiting = std::move(aTable.unconfirmed);
  aTable.unconfirmed.clear();
  for (auto& [id, entry] : waiting) {
    // Nothing says that an entry still stands while the store is away.
    if (aTable.unavailableSince || aNow - entry.since < kConfirmationTime) {
      aTable.unconfirmed.emplace(id, std::move(entry));
    } else if (Upsert(aTable, entry.server, entry.position, aNow)) {
      confirmed.push_back(id);
    }
  }
  std::erase_if(aTable.departed, [&](const auto& aDeparted) {
    return aNow - aDeparted.second >= kDepartedRetention;
  });
  return confirmed;
}

std::vector<std::string>
RemoveExpired(ServerTable& aTable, base::Instant aNow)
{
  std::vector<std::string> expired;
  if (aTable.unavailableSince) {
    return expired;
  }
  for (auto entry = aTable.entries.begin(); entry != aTable.entries.end();) {
    auto current = entry++;
    if (current->second.expiresAt && *current->second.expiresAt <= aNow) {
      expired.push_back(current->first);
      Erase(aTable, current, aNow);
    }
  }
  return expired;
}

} // namespace sapphirewind::directory
