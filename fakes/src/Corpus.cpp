#include <fakes/Corpus.h>

#include <base/Random.h>
#include <cmath>
#include <numbers>

namespace sapphirewind::fakes {

namespace {

constexpr double kMinUniform = 1e-12;

/// Derives a standard normal value from a hash by the Box-Muller transform.
double
NormalFromHash(uint64_t aHash)
{
  double radius = std::sqrt(-2.0 * std::log(std::max(kMinUniform, base::UnitFromHash(aHash))));
  double angle = 2.0 * std::numbers::pi * base::UnitFromHash(base::CombineHash(aHash, "angle"));
  return radius * std::cos(angle);
}

std::string
ZeroPadded(size_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return digits.size() < 2 ? "0" + digits : digits;
}

} // namespace

std::vector<model::Hit>
ShardHits(const std::string& aQuery, const std::string& aSnapshot, const std::string& aShard)
{
  std::vector<model::Hit> hits;
  for (size_t index = 0; index < kHitsPerShard; ++index) {
    std::string id = aShard + "-" + std::to_string(index) + "@" + aSnapshot;
    uint64_t hash = base::CombineHash(base::Hash64(aQuery), id);
    // Scores have three decimals, so that ties are common.
    double score = std::floor(base::UnitFromHash(hash) * 1000.0) / 1000.0;
    hits.push_back(
      model::Hit{ .id = id, .shard = aShard, .score = score, .text = "for " + aQuery });
  }
  return hits;
}

std::vector<model::Hit>
ExpectedPage(const std::string& aQuery,
             const std::string& aSnapshot,
             const std::vector<std::string>& aShards,
             size_t aOffset,
             size_t aLimit)
{
  std::vector<model::Hit> all;
  for (const std::string& shard : aShards) {
    std::vector<model::Hit> hits = ShardHits(aQuery, aSnapshot, shard);
    all.insert(all.end(), hits.begin(), hits.end());
  }
  std::vector<model::Hit> top = model::SortTop(std::move(all), aOffset + aLimit);
  top.erase(top.begin(), top.begin() + static_cast<std::ptrdiff_t>(std::min(aOffset, top.size())));
  return top;
}

base::Duration
DrawServiceTime(const ServiceTime& aTime, const std::string& aRequest, const std::string& aServer)
{
  uint64_t hash = base::CombineHash(base::Hash64(aRequest, aTime.seed), aServer);
  double mu = std::log(aTime.meanMs) - aTime.sigma * aTime.sigma / 2.0;
  return base::FromFractionalMillis(std::exp(mu + aTime.sigma * NormalFromHash(hash)));
}

std::string
GroupName(size_t aGroup)
{
  return "g" + ZeroPadded(aGroup);
}

std::string
ServerName(const std::string& aService, size_t aGroup, size_t aReplica)
{
  return aService + "-" + GroupName(aGroup) + "-" + std::to_string(aReplica);
}

model::Snapshot
MakeSnapshot(const ServicePlan& aPlan, int64_t aSerial)
{
  model::Snapshot snapshot{ .id = "s" + std::to_string(aSerial), .serial = aSerial, .shards = {} };
  for (size_t group = 0; group < aPlan.groups; ++group) {
    for (size_t shard = 0; shard < aPlan.shardsPerGroup; ++shard) {
      // Each serial shifts every shard by one group, so that a new snapshot repartitions the data.
      size_t groupIndex = (group + static_cast<size_t>(aSerial)) % aPlan.groups;
      snapshot.shards.push_back(
        model::ShardLocation{ .shard = "sh" + ZeroPadded(group) + "x" + std::to_string(shard),
                              .group = GroupName(groupIndex) });
    }
  }
  return snapshot;
}

} // namespace sapphirewind::fakes
