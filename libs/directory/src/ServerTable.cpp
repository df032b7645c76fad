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
    aTable.entries.erase(aEntry);
    return true;
  }
  if (!entry.expiresAt) {
    entry.expiresAt = *start + kReregistrationGrace;
  }
  return false;
}

} // namespace

bool
Upsert(ServerTable& aTable, const Server& aServer, uint64_t aRevision)
{
  auto [entry, isNew] = aTable.entries.try_emplace(aServer.id);
  if (!isNew && entry->second.revision > aRevision) {
    return false;
  }
  bool changed = isNew || entry->second.server != aServer;
  entry->second = ServerTable::Entry{ .server = aServer, .revision = aRevision };
  return changed;
}

bool
Remove(ServerTable& aTable, const std::string& aId, uint64_t aRevision, base::Instant aNow)
{
  auto entry = aTable.entries.find(aId);
  if (entry == aTable.entries.end() || entry->second.revision > aRevision) {
    return false;
  }
  return ExpireOrErase(aTable, entry, aNow);
}

bool
ReplaceAll(ServerTable& aTable,
           const std::vector<ListedServer>& aServers,
           uint64_t aRevision,
           base::Instant aNow)
{
  bool changed = false;
  std::set<std::string> listed;
  for (const ListedServer& server : aServers) {
    listed.insert(server.server.id);
    changed = Upsert(aTable, server.server, server.revision) || changed;
  }
  for (auto entry = aTable.entries.begin(); entry != aTable.entries.end();) {
    auto current = entry++;
    bool missing = listed.count(current->first) == 0 && current->second.revision <= aRevision;
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
      aTable.entries.erase(current);
    }
  }
  return expired;
}

} // namespace sapphirewind::directory
