/// @file Tracks the live instances by the heartbeats that each writes to its entry in the store.
///
/// The store does not expire entries, so an instance counts as live only while its entry keeps
/// changing. An entry counts from its first observation on: an overestimate of the number of
/// instances makes each share too small, which is the safe side for limits that all share.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <directory/StoreEra.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::directory {

/// Minimum heartbeat interval of an instance. Shares adapt within a few intervals.
constexpr base::Duration kMinHeartbeatInterval = std::chrono::seconds(6);
/// Minimum time between two heartbeats over all instances together, so that the load on the store
/// does not grow with the number of instances.
constexpr base::Duration kHeartbeatSpacing = std::chrono::milliseconds(500);
/// How often an instance lists the entries of the others: less often the more they are, as the
/// length of the list grows with them too.
constexpr base::Duration kMinListInterval = std::chrono::seconds(6);
constexpr base::Duration kListSpacing = std::chrono::milliseconds(70);
/// Time between two entries that are written again after the store returned from an older copy,
/// over all instances together: a quarter of the writes a second of the smallest store.
constexpr base::Duration kRewriteSpacing = std::chrono::milliseconds(10);
/// An instance whose entry did not change for this many heartbeat intervals is considered dead.
constexpr int kMissedHeartbeatLimit = 3;
/// An entry without heartbeats is removed after this time, which exceeds any outage that stops
/// heartbeats.
constexpr base::Duration kDeadEntryRetention = std::chrono::minutes(10);

/// An instance as described by its entry.
struct InstanceEntry
{
  std::string name;
  StorePosition position;
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
  /// When the entries were listed last; not set before the first list.
  std::optional<base::Instant> listedAt;
};

/// Records an entry as it was listed. What the store's older copy says of an instance is no
/// heartbeat, and none missed: an instance that was live has its whole lifetime to write its entry
/// again, and one that was not stays so until it does.
void
RecordHeartbeat(InstanceTracker& aTracker, const InstanceEntry& aEntry, base::Instant aNow);

/// Handles that the store has returned from an older copy: the instances that are live have their
/// whole lifetime to write their entries again, also those that the copy lacks.
void
OnStoreReturned(InstanceTracker& aTracker, base::Instant aNow);

/// How long the instances take to write their entries again after such a return, so that all of
/// them together stay far below the calls that the store accepts.
base::Duration
RewriteSpread(size_t aInstances);

/// Records that a complete list was read. A time without lists, as in an outage of the store, does
/// not count against the heartbeats that could not be seen in it.
void
RecordList(InstanceTracker& aTracker, base::Instant aNow);

/// Heartbeat interval of each instance for a given number of instances.
base::Duration
HeartbeatInterval(size_t aInstances);

/// Interval between two lists of the entries for a given number of instances.
base::Duration
ListInterval(size_t aInstances);

size_t
CountLive(const InstanceTracker& aTracker, base::Instant aNow);

/// All live instances.
std::vector<InstanceEntry>
ListLive(const InstanceTracker& aTracker, base::Instant aNow);

/// The number of instances by region.
std::map<std::string, size_t>
CountByRegion(const std::vector<InstanceEntry>& aInstances);

/// Extracts expired entries, which the caller is to remove from the store.
std::vector<std::string>
ExtractExpired(InstanceTracker& aTracker, base::Instant aNow);

} // namespace sapphirewind::directory
