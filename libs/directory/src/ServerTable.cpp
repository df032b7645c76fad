#include <directory/ServerTable.h>

#include <set>

namespace sapphirewind::directory {

namespace {

bool
IsNearOutage(const ServerTable& aTable, base::Instant aNow)
{
  return aTable.storeUnavailable || aNow < aTable.storeRecoveredAt + kReregistrationGrace;
}

/// Sets the expiry of an entry around an outage, erases it otherwise; returns whether it was
/// erased.
bool
ExpireOrErase(ServerTable& aTable,
              std::map<std::string, ServerTable::Entry>::iterator aEntry,
              base::Instant aNow)
{
  bool mayReregister = IsNearOutage(aTable, aNow) && !aEntry->second.server.draining;
  if (mayReregister) {
    base::Instant from = aTable.storeUnavailable ? aNow : aTable.storeRecoveredAt;
    aEntry->second.expiresAt = from + kReregistrationGrace;
    return false;
  }
  aTable.entries.erase(aEntry);
  return true;
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
OnStoreUnavailable(ServerTable& aTable)
{
  aTable.storeUnavailable = true;
}

void
OnStoreRecovered(ServerTable& aTable, base::Instant aNow)
{
  if (!aTable.storeUnavailable) {
    return;
  }
  aTable.storeUnavailable = false;
  aTable.storeRecoveredAt = aNow;
  for (auto& [id, entry] : aTable.entries) {
    if (entry.expiresAt) {
      entry.expiresAt = aNow + kReregistrationGrace;
    }
  }
}

std::vector<std::string>
RemoveExpired(ServerTable& aTable, base::Instant aNow)
{
  std::vector<std::string> expired;
  if (aTable.storeUnavailable) {
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
