#include <directory/Census.h>

#include <algorithm>
#include <base/Random.h>

namespace sapphirewind::directory {

namespace {

bool
IsLive(const Census& aCensus, const Census::Sighting& aSighting, base::Instant aNow)
{
  base::Duration lifetime = BeatInterval(aCensus.sightings.size()) * kBeatsToLive;
  return aNow - aSighting.changedAt < lifetime;
}

} // namespace

void
Observe(Census& aCensus, const InstanceEntry& aEntry, base::Instant aNow)
{
  auto [sighting, isNew] = aCensus.sightings.try_emplace(aEntry.name);
  if (isNew || aEntry.revision > sighting->second.entry.revision) {
    sighting->second = { .entry = aEntry, .changedAt = aNow };
  }
}

base::Duration
BeatInterval(size_t aInstances)
{
  return std::max<base::Duration>(kLeastBeatInterval,
                                  kBeatSpacing * static_cast<int64_t>(aInstances));
}

size_t
CountLive(const Census& aCensus, base::Instant aNow)
{
  return ListLive(aCensus, aNow).size();
}

std::vector<InstanceEntry>
ListLive(const Census& aCensus, base::Instant aNow)
{
  std::vector<InstanceEntry> live;
  for (const auto& [name, sighting] : aCensus.sightings) {
    if (IsLive(aCensus, sighting, aNow)) {
      live.push_back(sighting.entry);
    }
  }
  return live;
}

std::map<std::string, size_t>
CountByRegion(const Census& aCensus, base::Instant aNow)
{
  std::map<std::string, size_t> counts;
  for (const InstanceEntry& entry : ListLive(aCensus, aNow)) {
    ++counts[entry.region];
  }
  return counts;
}

std::vector<InstanceEntry>
ChooseMirrors(const Census& aCensus, const std::string& aRegion, size_t aCount, base::Instant aNow)
{
  std::vector<InstanceEntry> mirrors;
  for (const InstanceEntry& entry : ListLive(aCensus, aNow)) {
    bool reachable = entry.region == aRegion && !entry.address.empty();
    if (reachable) {
      mirrors.push_back(entry);
    }
  }
  if (mirrors.size() <= kMostDirectFollowers) {
    return {};
  }
  std::sort(mirrors.begin(), mirrors.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(base::Hash64(aLeft.name), aLeft.name) <
           std::pair(base::Hash64(aRight.name), aRight.name);
  });
  mirrors.resize(std::min(aCount, mirrors.size()));
  return mirrors;
}

std::vector<std::string>
TakeExpired(Census& aCensus, base::Instant aNow)
{
  std::vector<std::string> expired;
  for (auto entry = aCensus.sightings.begin(); entry != aCensus.sightings.end();) {
    auto current = entry++;
    if (aNow - current->second.changedAt >= kEntryLifetime) {
      expired.push_back(current->first);
      aCensus.sightings.erase(current);
    }
  }
  return expired;
}

} // namespace sapphirewind::directory
