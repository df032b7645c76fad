#include <directory/Census.h>

#include <algorithm>

namespace sapphirewind::directory {

void
Observe(Census& aCensus, const std::string& aName, uint64_t aRevision, base::Instant aNow)
{
  auto [sighting, isNew] = aCensus.sightings.try_emplace(aName);
  if (isNew || aRevision > sighting->second.revision) {
    sighting->second = { .revision = aRevision, .changedAt = aNow };
  }
}

size_t
CountLive(const Census& aCensus, base::Instant aNow)
{
  return static_cast<size_t>(
    std::count_if(aCensus.sightings.begin(), aCensus.sightings.end(), [&](const auto& aEntry) {
      return aNow - aEntry.second.changedAt < kBeatLifetime;
    }));
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
