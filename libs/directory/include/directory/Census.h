/// @file How many instances there are, from entries that each rewrites from time to time.
///
/// Nothing in the store expires by itself, so an entry counts only while it keeps changing. An
/// entry seen for the first time counts: too many instances means too small shares, which is the
/// safe side for limits that all share.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::directory {

/// How often an instance rewrites its entry at the least. Shares adapt within a few of these.
constexpr base::Duration kLeastBeatInterval = std::chrono::seconds(6);
/// All instances together rewrite one entry in this time at the most, so that their calls do not
/// grow with the fleet.
constexpr base::Duration kBeatSpacing = std::chrono::milliseconds(500);
/// An entry that did not change for this many beats is a dead instance's.
constexpr int kBeatsToLive = 3;
/// A dead entry is removed after this long, well past any outage that stops beats.
constexpr base::Duration kEntryLifetime = std::chrono::minutes(10);

/// An instance as its entry describes it.
struct InstanceEntry
{
  std::string name;
  uint64_t revision = 0;
  std::string address;
  std::string region;

  auto operator<=>(const InstanceEntry&) const = default;
};

struct Census
{
  struct Sighting
  {
    InstanceEntry entry;
    base::Instant changedAt{};
  };

  std::map<std::string, Sighting> sightings;
};

void
Observe(Census& aCensus, const InstanceEntry& aEntry, base::Instant aNow);

/// How often each of so many instances rewrites its entry.
base::Duration
BeatInterval(size_t aInstances);

size_t
CountLive(const Census& aCensus, base::Instant aNow);

/// All live instances.
std::vector<InstanceEntry>
ListLive(const Census& aCensus, base::Instant aNow);

/// Live instances by region.
std::map<std::string, size_t>
CountByRegion(const Census& aCensus, base::Instant aNow);

/// The live instances of a region that follow the store for the others there, at most aCount: the
/// same at every instance that sees the same entries. Empty when so few live there that each may
/// follow the store itself.
std::vector<InstanceEntry>
ChooseMirrors(const Census& aCensus, const std::string& aRegion, size_t aCount, base::Instant aNow);

/// Up to so many instances of a region each follow the store themselves.
constexpr size_t kMostDirectFollowers = 4;

/// Entries that are to be removed from the store; they are forgotten here.
std::vector<std::string>
TakeExpired(Census& aCensus, base::Instant aNow);

} // namespace sapphirewind::directory
