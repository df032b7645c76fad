#include <model/Search.h>

#include <algorithm>
#include <set>
#include <unordered_set>

namespace sapphirewind::model {

namespace {

/// Keeps the first hit of each id in a sorted list, and at most aCount hits.
std::vector<Hit>
DeduplicateById(std::vector<Hit> aOrdered, size_t aCount)
{
  std::vector<Hit> kept;
  std::unordered_set<std::string> seen;
  for (Hit& hit : aOrdered) {
    if (kept.size() == aCount) {
      break;
    }
    if (seen.insert(hit.id).second) {
      kept.push_back(std::move(hit));
    }
  }
  return kept;
}

} // namespace

bool
RanksBefore(const Hit& aLeft, const Hit& aRight)
{
  if (aLeft.score != aRight.score) {
    return aLeft.score > aRight.score;
  }
  return aLeft.id < aRight.id;
}

std::vector<Hit>
MergeTop(std::vector<Hit> aLeft, std::vector<Hit> aRight, size_t aCount)
{
  std::vector<Hit> merged;
  merged.reserve(aLeft.size() + aRight.size());
  std::merge(std::make_move_iterator(aLeft.begin()),
             std::make_move_iterator(aLeft.end()),
             std::make_move_iterator(aRight.begin()),
             std::make_move_iterator(aRight.end()),
             std::back_inserter(merged),
             RanksBefore);
  return DeduplicateById(std::move(merged), aCount);
}

std::vector<Hit>
SortTop(std::vector<Hit> aHits, size_t aCount)
{
  std::sort(aHits.begin(), aHits.end(), RanksBefore);
  return DeduplicateById(std::move(aHits), aCount);
}

double
Coverage::Share() const
{
  return this->total == 0 ? 0.0
                          : static_cast<double>(this->answered) / static_cast<double>(this->total);
}

Coverage
ComputeCoverage(const std::vector<std::string>& aSnapshotShards,
                const std::vector<std::string>& aAnsweredShards)
{
  std::set<std::string> answered(aAnsweredShards.begin(), aAnsweredShards.end());
  std::set<std::string> shards(aSnapshotShards.begin(), aSnapshotShards.end());
  Coverage coverage;
  coverage.total = shards.size();
  for (const std::string& shard : shards) {
    if (answered.count(shard)) {
      ++coverage.answered;
    } else {
      coverage.missing.push_back(shard);
    }
  }
  return coverage;
}

} // namespace sapphirewind::model
