#include <routing/SnapshotChoice.h>

#include <algorithm>

namespace sapphirewind::routing {

namespace {

bool
IsMissing(const SnapshotReadiness& aKnowledge, const std::string& aSnapshot, base::Instant aNow)
{
  auto found = aKnowledge.missingUntil.find(aSnapshot);
  return found != aKnowledge.missingUntil.end() && aNow < found->second;
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
Names(const model::ServiceIndex& aIndex, const std::string& aSnapshot)
{
  return std::any_of(aIndex.snapshots.begin(),
                     aIndex.snapshots.end(),
                     [&](const model::Snapshot& aEntry) { return aEntry.id == aSnapshot; });
}

} // namespace

const model::Snapshot*
PickSnapshot(const model::ServiceIndex& aIndex,
             const SnapshotReadiness& aKnowledge,
             base::Instant aNow)
{
  auto present = [&](const model::Snapshot& aSnapshot) {
    return !IsMissing(aKnowledge, aSnapshot.id, aNow);
  };
  auto proven = [&](const model::Snapshot& aSnapshot) {
    return aKnowledge.readyAt.count(aSnapshot.id) && present(aSnapshot);
  };
  if (const model::Snapshot* snapshot = Newest(aIndex, proven)) {
    return snapshot;
  }
  if (const model::Snapshot* snapshot = Newest(aIndex, present)) {
    return snapshot;
  }
  return Newest(aIndex, [](const model::Snapshot&) { return true; });
}

std::vector<const model::Snapshot*>
UnconfirmedSnapshots(const model::ServiceIndex& aIndex, const SnapshotReadiness& aKnowledge)
{
  std::vector<const model::Snapshot*> unproven;
  for (const model::Snapshot& snapshot : aIndex.snapshots) {
    if (!aKnowledge.readyAt.count(snapshot.id)) {
      unproven.push_back(&snapshot);
    }
  }
  return unproven;
}

void
RecordReady(SnapshotReadiness& aKnowledge, const std::string& aSnapshot, base::Instant aNow)
{
  aKnowledge.readyAt[aSnapshot] = aNow;
  aKnowledge.missingUntil.erase(aSnapshot);
}

void
RecordMissing(SnapshotReadiness& aKnowledge, const std::string& aSnapshot, base::Instant aNow)
{
  aKnowledge.readyAt.erase(aSnapshot);
  aKnowledge.missingUntil[aSnapshot] = aNow + kMissingLifetime;
}

void
EraseUnlisted(SnapshotReadiness& aKnowledge, const model::ServiceIndex& aIndex)
{
  auto gone = [&](const auto& aEntry) { return !Names(aIndex, aEntry.first); };
  std::erase_if(aKnowledge.readyAt, gone);
  std::erase_if(aKnowledge.missingUntil, gone);
}

} // namespace sapphirewind::routing
