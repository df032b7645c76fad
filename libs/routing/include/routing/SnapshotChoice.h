/// @file Which snapshot a query pins: the newest for which every group has a serving replica.
#pragma once

#include <base/Time.h>
#include <map>
#include <model/Catalog.h>
#include <string>

namespace sapphirewind::routing {

/// What is known of each snapshot's readiness at the upstreams.
struct SnapshotReadiness
{
  /// Snapshots found ready at every group.
  std::map<std::string, base::Instant> readyAt;
  /// Snapshots that some group could not serve, and until when that counts.
  std::map<std::string, base::Instant> missingUntil;
};

/// How long a group's lack of a snapshot is remembered.
constexpr base::Duration kMissingLifetime = std::chrono::milliseconds(500);

/// The snapshot to pin: the newest proven one that is not missing; else the newest that is not
/// missing; else the newest. Null when the index has none.
const model::Snapshot*
PickSnapshot(const model::ServiceIndex& aIndex,
             const SnapshotReadiness& aKnowledge,
             base::Instant aNow);

/// Snapshots newer than the pinned one, or unproven, whose readiness should be asked about.
std::vector<const model::Snapshot*>
UnconfirmedSnapshots(const model::ServiceIndex& aIndex, const SnapshotReadiness& aKnowledge);

void
RecordReady(SnapshotReadiness& aKnowledge, const std::string& aSnapshot, base::Instant aNow);

void
RecordMissing(SnapshotReadiness& aKnowledge, const std::string& aSnapshot, base::Instant aNow);

/// Forgets snapshots that the index no longer names.
void
EraseUnlisted(SnapshotReadiness& aKnowledge, const model::ServiceIndex& aIndex);

} // namespace sapphirewind::routing
