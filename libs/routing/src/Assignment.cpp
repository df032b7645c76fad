#include <routing/Assignment.h>

#include <algorithm>
#include <base/Random.h>
#include <cassert>
#include <cmath>

namespace sapphirewind::routing {

namespace {

/// The maximum load of an instance relative to an even share.
constexpr double kLoadBound = 1.25;
/// The fraction of a server's connections that all sharers of a bundle may use together, so that
/// two sets of owners fit under the limit while the membership views of instances differ.
constexpr double kSharersConnectionShare = 0.9;
constexpr size_t kStandbyCount = 2;

size_t
CeilDivide(size_t aTotal, size_t aParts)
{
  return (aTotal + aParts - 1) / aParts;
}

uint64_t
Score(std::string_view aKey, std::string_view aName)
{
  return base::CombineHash(base::Hash64(aKey), aName);
}

/// Places each key on aReplicationFactor names without exceeding the load bound of any name. Keys
/// are placed in the order of their hashes, so that the result does not depend on the input order.
std::vector<std::vector<std::string>>
PlaceBounded(const std::vector<std::string>& aKeys,
             const std::vector<std::string>& aNames,
             size_t aReplicationFactor)
{
  std::vector<size_t> order(aKeys.size());
  for (size_t index = 0; index < order.size(); ++index) {
    order[index] = index;
  }
  std::sort(order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
    return base::Hash64(aKeys[aLeft]) < base::Hash64(aKeys[aRight]);
  });
  double evenShare =
    static_cast<double>(aKeys.size() * aReplicationFactor) / static_cast<double>(aNames.size());
  size_t bound = std::max<size_t>(1, static_cast<size_t>(std::ceil(evenShare * kLoadBound)));
  std::unordered_map<std::string, size_t> load;
  std::vector<std::vector<std::string>> placed(aKeys.size());
  for (size_t index : order) {
    std::vector<std::string> ranked = RendezvousOrder(aKeys[index], aNames);
    for (const std::string& name : ranked) {
      if (placed[index].size() == aReplicationFactor) {
        break;
      }
      if (load[name] < bound) {
        ++load[name];
        placed[index].push_back(name);
      }
    }
    // If rounding leaves all names at their bound, the highest-ranked one is used above its bound.
    if (placed[index].empty()) {
      placed[index].push_back(ranked.front());
    }
  }
  return placed;
}

std::vector<std::string>
Standbys(const std::string& aGroup,
         const std::vector<std::string>& aInstances,
         const std::vector<std::string>& aOwners)
{
  std::vector<std::string> standbys;
  for (const std::string& name : RendezvousOrder(aGroup, aInstances)) {
    bool owner = std::find(aOwners.begin(), aOwners.end(), name) != aOwners.end();
    if (!owner && standbys.size() < kStandbyCount) {
      standbys.push_back(name);
    }
  }
  return standbys;
}

std::vector<std::string>
BundleKeys(size_t aBundles)
{
  std::vector<std::string> keys;
  for (size_t bundle = 0; bundle < aBundles; ++bundle) {
    keys.push_back("bundle-" + std::to_string(bundle));
  }
  return keys;
}

} // namespace

BundlePlan
PlanBundles(const PlanInput& aInput)
{
  assert(aInput.instances > 0 && aInput.groups > 0);
  if (aInput.forcedSharers > 0) {
    size_t sharers = std::min(aInput.forcedSharers, aInput.instances);
    return BundlePlan{ .bundles = std::max<size_t>(1, aInput.instances / sharers),
                       .sharers = sharers };
  }
  size_t maxBundles = std::min({ aInput.instances, aInput.groups, kMaxBundles });
  size_t sharers = std::max<size_t>(1, aInput.instances / maxBundles);
  double budget = static_cast<double>(aInput.connectionLimit) * kSharersConnectionShare;
  size_t maxSharers = std::max<size_t>(1, static_cast<size_t>(budget));
  if (sharers > maxSharers) {
    sharers = maxSharers;
    maxBundles = std::min(aInput.groups, CeilDivide(aInput.instances, sharers));
  }
  return BundlePlan{ .bundles = maxBundles, .sharers = sharers };
}

std::vector<std::string>
RendezvousOrder(std::string_view aKey, const std::vector<std::string>& aNames)
{
  struct Scored
  {
    uint64_t score;
    const std::string* name;
  };
  std::vector<Scored> scored;
  scored.reserve(aNames.size());
  for (const std::string& name : aNames) {
    scored.push_back(Scored{ .score = Score(aKey, name), .name = &name });
  }
  std::sort(scored.begin(), scored.end(), [](const Scored& aLeft, const Scored& aRight) {
    return aLeft.score != aRight.score ? aLeft.score > aRight.score : *aLeft.name < *aRight.name;
  });
  std::vector<std::string> ordered;
  ordered.reserve(scored.size());
  for (const Scored& entry : scored) {
    ordered.push_back(*entry.name);
  }
  return ordered;
}

const GroupRoute*
Assignment::RouteOf(std::string_view aGroup) const
{
  auto found = this->routes.find(std::string(aGroup));
  return found == this->routes.end() ? nullptr : &found->second;
}

bool
Assignment::Owns(std::string_view aInstance, std::string_view aGroup) const
{
  const GroupRoute* route = this->RouteOf(aGroup);
  if (!route) {
    return false;
  }
  return std::find(route->owners.begin(), route->owners.end(), aInstance) != route->owners.end();
}

Assignment
Assign(std::vector<std::string> aInstances,
       std::vector<std::string> aGroups,
       size_t aConnectionLimit,
       size_t aForcedSharers)
{
  assert(!aInstances.empty());
  std::sort(aInstances.begin(), aInstances.end());
  Assignment assignment;
  if (aGroups.empty()) {
    return assignment;
  }
  assignment.plan = PlanBundles(PlanInput{ .instances = aInstances.size(),
                                           .groups = aGroups.size(),
                                           .connectionLimit = aConnectionLimit,
                                           .forcedSharers = aForcedSharers });
  // With one sharer per bundle, bundles and instances correspond one to one. Instance names serve
  // as bundle keys then, so that the removal of an instance does not move the bundles of the
  // others.
  bool exclusive = assignment.plan.sharers == 1 && assignment.plan.bundles == aInstances.size();
  std::vector<std::string> keys = exclusive ? aInstances : BundleKeys(assignment.plan.bundles);
  std::vector<std::vector<std::string>> bundleOwners;
  if (exclusive) {
    for (const std::string& name : aInstances) {
      bundleOwners.push_back({ name });
    }
  } else {
    bundleOwners = PlaceBounded(keys, aInstances, assignment.plan.sharers);
  }
  std::vector<std::vector<std::string>> bundleOfGroup = PlaceBounded(aGroups, keys, 1);
  for (size_t group = 0; group < aGroups.size(); ++group) {
    auto key = std::find(keys.begin(), keys.end(), bundleOfGroup[group].front());
    GroupRoute route;
    route.bundle = static_cast<size_t>(key - keys.begin());
    route.owners = bundleOwners[route.bundle];
    route.standbys = Standbys(aGroups[group], aInstances, route.owners);
    assignment.routes.emplace(aGroups[group], std::move(route));
  }
  return assignment;
}

} // namespace sapphirewind::routing
