#include <routing/SnapshotChoice.h>

#include <algorithm>

namespace sapphirewind::routing {

namespace {

bool
IsMissing(const SnapshotReadiness& aReadiness, const std::string& aSnapshot, base::Instant aNow)
{
  auto found = aReadiness.missingUntil.find(aSnapshot);
  return found != aReadiness.missingUntil.end() && aNow < found->second;
}

template<typename Accept>
const model::Snapshot*
Newest(const model::ServiceIndex& aIndex, const Accept& aAccept)
{
  const model::Snapshot* newest = nullptr;
  for (const model::Snapshot& snapshot : aIndex.snapshots) {
    if (aAccept(snapshot) && (!newest || snapshot.serial > newest->serial)) {
      newest = &snapshot;
    }
  }
  return newest;
}

bool
Lists(const model::ServiceIndex& aIndex, const std::string& aSnapshot)
{
  return std::any_of(aIndex.snapshots.begin(),
                     aIndex.snapshots.end(),
                     [&](const model::Snapshot& aEntry) { return aEntry.id == aSnapshot; });
}

} // namespace

const model::Snapshot*
PickSnapshot(const model::ServiceIndex& aIndex,
             const SnapshotReadiness& aReadiness,
             base::Instant aNow)
{
  auto notMissing = [&](const model::Snapshot& aSnapshot) {
    return !IsMissing(aReadiness, aSnapshot.id, aNow);
  };
  auto confirmed = [&](const model::Snapshot& aSnapshot) {
    return aReadiness.readyAt.count(aSnapshot.id) && notMissing(aSnapshot);
  };
  if (const model::Snapshot* snapshot = Newest(aIndex, confirmed)) {
    return snapshot;
  }
  if (const model::Snapshot* snapshot = Newest(aIndex, notMissing)) {
    return snapshot;
  }
  return Newest(aIndex, [](const model::Snapshot&) { return true; });
}

std::vector<const model::Snapshot*>
UnconfirmedSnapshots(const model::ServiceIndex& aIndex, const SnapshotReadiness& aReadiness)
{
  std::vector<const model::Snapshot*> unconfirmed;
  for (const model::Snapshot& snapshot : aIndex.snapshots) {
    if (!aReadiness.readyAt.count(snapshot.id)) {
      unconfirmed.push_back(&snapshot);
    }
  }
  return unconfirmed;
}

void
RecordReady(SnapshotReadiness& aReadiness, const std::string& aSnapshot, base::Instant aNow)
{
  aReadiness.readyAt[aSnapshot] = aNow;
  aReadiness.missingUntil.erase(aSnapshot);
}

void
RecordMissing(SnapshotReadiness& aReadiness, const std::string& aSnapshot, base::Instant aNow)
{
  aReadiness.readyAt.erase(aSnapshot);
  aReadiness.missingUntil[aSnapshot] = aNow + kMissingLifetime;
}

void
EraseUnlisted(SnapshotReadiness& aReadiness, const model::ServiceIndex& aIndex)
{
  auto unlisted = [&](const auto& aEntry) { return !Lists(aIndex, aEntry.first); };
  std::erase_if(aReadiness.readyAt, unlisted);
  std::erase_if(aReadiness.missingUntil, unlisted);
}

} // namespace sapphirewind::routing
