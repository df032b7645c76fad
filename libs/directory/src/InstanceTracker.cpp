#include <directory/InstanceTracker.h>

#include <algorithm>

namespace sapphirewind::directory {

namespace {

/// The longest usual pause between lists, which come with a jitter of a quarter.
base::Duration
UsualListPause(size_t aInstances)
{
  return ListInterval(aInstances) * 3 / 2;
}

bool
IsLive(const InstanceTracker& aTracker,
       const InstanceTracker::HeartbeatRecord& aHeartbeat,
       base::Instant aNow)
{
  base::Duration lifetime = HeartbeatInterval(aTracker.heartbeats.size()) * kMissedHeartbeatLimit;
  return aNow - aHeartbeat.changedAt < lifetime;
}

} // namespace

void
RecordHeartbeat(InstanceTracker& aTracker, const InstanceEntry& aEntry, base::Instant aNow)
{
  auto [heartbeat, isNew] = aTracker.heartbeats.try_emplace(aEntry.name);
  if (isNew) {
    heartbeat->second = { .entry = aEntry, .changedAt = aNow };
    return;
  }
  const StorePosition& known = heartbeat->second.entry.position;
  bool isFirstOfEra = aEntry.position.era > known.era;
  if (aEntry.position > known) {
    heartbeat->second = { .entry = aEntry,
                          .changedAt = isFirstOfEra ? heartbeat->second.changedAt : aNow };
  }
}

void
OnStoreReturned(InstanceTracker& aTracker, base::Instant aNow)
{
  for (auto& [name, heartbeat] : aTracker.heartbeats) {
    if (IsLive(aTracker, heartbeat, aNow)) {
      heartbeat.changedAt = aNow;
    }
  }
}

base::Duration
RewriteSpread(size_t aInstances)
{
  return kRewriteSpacing * static_cast<int64_t>(aInstances);
}

void
RecordList(InstanceTracker& aTracker, base::Instant aNow)
{
  if (aTracker.listedAt) {
    base::Duration unseen = aNow - *aTracker.listedAt - UsualListPause(aTracker.heartbeats.size());
    for (auto& [name, heartbeat] : aTracker.heartbeats) {
      bool mayHaveBeaten = unseen > base::Duration(0) && heartbeat.changedAt < aNow;
      heartbeat.changedAt += mayHaveBeaten ? unseen : base::Duration(0);
    }
  }
  aTracker.listedAt = aNow;
}

base::Duration
HeartbeatInterval(size_t aInstances)
{
  return std::max<base::Duration>(kMinHeartbeatInterval,
                                  kHeartbeatSpacing * static_cast<int64_t>(aInstances));
}

base::Duration
ListInterval(size_t aInstances)
{
  return std::max<base::Duration>(kMinListInterval,
                                  kListSpacing * static_cast<int64_t>(aInstances));
}

size_t
CountLive(const InstanceTracker& aTracker, base::Instant aNow)
{
  return ListLive(aTracker, aNow).size();
}

std::vector<InstanceEntry>
ListLive(const InstanceTracker& aTracker, base::Instant aNow)
{
  std::vector<InstanceEntry> live;
  for (const auto& [name, heartbeat] : aTracker.heartbeats) {
    if (IsLive(aTracker, heartbeat, aNow)) {
      live.push_back(heartbeat.entry);
    }
  }
  return live;
}

std::map<std::string, size_t>
CountByRegion(const std::vector<InstanceEntry>& aInstances)
{
  std::map<std::string, size_t> counts;
  for (const InstanceEntry& entry : aInstances) {
    ++counts[entry.region];
  }
  return counts;
}

std::vector<std::string>
ExtractExpired(InstanceTracker& aTracker, base::Instant aNow)
{
  std::vector<std::string> expired;
  for (auto entry = aTracker.heartbeats.begin(); entry != aTracker.heartbeats.end();) {
    auto current = entry++;
    if (aNow - current->second.changedAt >= kDeadEntryRetention) {
      expired.push_back(current->first);
      aTracker.heartbeats.erase(current);
    }
  }
  return expired;
}

} // namespace sapphirewind::directory
