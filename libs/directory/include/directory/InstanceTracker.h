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
constexpr base::Duration kMinHeartbeatInterval = std::chrono::seconds(6);
/// All instances together rewrite one entry in this time at the most, so that their calls do not
/// grow with the fleet.
constexpr base::Duration kHeartbeatSpacing = std::chrono::milliseconds(500);
/// An entry that did not change for this many beats is a dead instance's.
constexpr int kMissedHeartbeatLimit = 3;
/// A dead entry is removed after this long, well past any outage that stops beats.
constexpr base::Duration kDeadEntryRetention = std::chrono::minutes(10);

/// An instance as its entry describes it.
struct InstanceEntry
{
  std::string name;
  uint64_t revision = 0;
  std::string address;
  std::string region;

  auto operator<=>(const InstanceEntry&) const = default;
};

struct InstanceTracker
{
  struct HeartbeatRecord
  {
    InstanceEntry entry;
    base::Instant changedAt{};
  };

  std::map<std::string, HeartbeatRecord> heartbeats;
};

void
RecordHeartbeat(InstanceTracker& aTracker, const InstanceEntry& aEntry, base::Instant aNow);

/// How often each of so many instances rewrites its entry.
base::Duration
HeartbeatInterval(size_t aInstances);

size_t
CountLive(const InstanceTracker& aTracker, base::Instant aNow);

/// All live instances.
std::vector<InstanceEntry>
ListLive(const InstanceTracker& aTracker, base::Instant aNow);

/// Live instances by region.
std::map<std::string, size_t>
CountByRegion(const InstanceTracker& aTracker, base::Instant aNow);

/// The live instances of a region that follow the store for the others there, at most aCount: the
/// same at every instance that sees the same entries. Empty when so few live there that each may
/// follow the store itself.
std::vector<InstanceEntry>
ChooseMirrors(const InstanceTracker& aTracker,
              const std::string& aRegion,
              size_t aCount,
              base::Instant aNow);

/// Up to so many instances of a region each follow the store themselves.
constexpr size_t kMaxDirectWatchers = 4;

/// Entries that are to be removed from the store; they are forgotten here.
std::vector<std::string>
ExtractExpired(InstanceTracker& aTracker, base::Instant aNow);

} // namespace sapphirewind::directory
