/// @file Which instances serve which groups: a pure function of the membership.
///
/// A service's groups are cut into bundles. Each bundle is shared by a few instances, which hold
/// the queue, the connections and the health of its groups. A query costs one message a bundle.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirewind::routing {

/// How many bundles a service is cut into, and how many instances share each.
struct BundlePlan
{
  size_t bundles = 1;
  size_t sharers = 1;

  auto operator<=>(const BundlePlan&) const = default;
};

struct PlanInput
{
  size_t instances = 1;
  size_t groups = 1;
  /// The lowest connection limit of the service's servers.
  size_t connectionLimit = 30;
  /// Instances that share a bundle when above 0; for measurements.
  size_t forcedSharers = 0;
};

/// The most messages that one query may cost.
constexpr size_t kMaxBundles = 10;

/// Plans as many bundles as the fan-out bound allows, then as many sharers as that leaves, and cuts
/// finer when the sharers would not fit the connection limit.
BundlePlan
PlanBundles(const PlanInput& aInput);

/// The instances that serve a group, the preferred ones first.
struct GroupRoute
{
  size_t bundle = 0;
  /// The instances that own the group's bundle.
  std::vector<std::string> owners;
  /// The next in order, which serve on a small reserve when no owner can be reached.
  std::vector<std::string> standbys;

  bool operator==(const GroupRoute&) const = default;
};

/// Routes of one service's groups in one region.
class Assignment
{
public:
  const BundlePlan& Plan() const { return this->plan; }

  /// The route of a group; null for a group that was not assigned.
  const GroupRoute* RouteOf(std::string_view aGroup) const;

  bool Owns(std::string_view aInstance, std::string_view aGroup) const;

  friend Assignment Assign(std::vector<std::string> aInstances,
                           std::vector<std::string> aGroups,
                           size_t aConnectionLimit,
                           size_t aForcedSharers);

private:
  BundlePlan plan;
  std::unordered_map<std::string, GroupRoute> routes;
};

/// Assigns groups to instances by rendezvous hashing with bounded load: every instance gets at most
/// a quarter more than an even share, and little moves when an instance comes or goes.
/// Precondition: aInstances is not empty.
Assignment
Assign(std::vector<std::string> aInstances,
       std::vector<std::string> aGroups,
       size_t aConnectionLimit,
       size_t aForcedSharers = 0);

/// Names ordered by their rendezvous score for a key, highest first.
std::vector<std::string>
RendezvousOrder(std::string_view aKey, const std::vector<std::string>& aNames);

} // namespace sapphirewind::routing
