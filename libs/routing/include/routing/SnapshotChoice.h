/// @file Selects the snapshot that a query is pinned to: the newest that every group can serve.
#pragma once

#include <base/Time.h>
#include <map>
#include <model/Catalog.h>
#include <string>

namespace sapphirewind::routing {

/// The known readiness of each snapshot at the upstreams.
struct SnapshotReadiness
{
  /// Snapshots confirmed as ready at every group, with the time of the confirmation.
  std::map<std::string, base::Instant> readyAt;
  /// Snapshots that some group could not serve, with the expiry time of that finding.
  std::map<std::string, base::Instant> missingUntil;
};

/// How long a snapshot is treated as missing after a group could not serve it.
constexpr base::Duration kMissingLifetime = std::chrono::milliseconds(500);

/// The snapshot to pin: the newest confirmed one that is not missing, else the newest that is not
/// missing, else the newest. Null if the index has no snapshots.
const model::Snapshot*
PickSnapshot(const model::ServiceIndex& aIndex,
             const SnapshotReadiness& aReadiness,
             base::Instant aNow);

/// The snapshots that are not confirmed as ready, whose readiness should be queried.
std::vector<const model::Snapshot*>
UnconfirmedSnapshots(const model::ServiceIndex& aIndex, const SnapshotReadiness& aReadiness);

void
RecordReady(SnapshotReadiness& aReadiness, const std::string& aSnapshot, base::Instant aNow);

void
RecordMissing(SnapshotReadiness& aReadiness, const std::string& aSnapshot, base::Instant aNow);

/// Erases the state of snapshots that the index does not list.
void
EraseUnlisted(SnapshotReadiness& aReadiness, const model::ServiceIndex& aIndex);

} // namespace sapphirewind::routing
