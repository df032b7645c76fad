/// @file Assigns server groups to instances as a pure function of the membership.
///
/// The groups of a service are partitioned into bundles. Each bundle is owned by a few instances,
/// its sharers, which keep the queue, the connections and the health state of its groups. A query
/// costs one message per bundle.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirewind::routing {

/// The number of bundles of a service and the number of instances that own each bundle.
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
  /// The lowest connection limit among the servers of the service.
  size_t connectionLimit = 30;
  /// Overrides the number of instances per bundle if above 0. Used by benchmarks.
  size_t forcedSharers = 0;
};

/// The maximum number of bundles per service, and so of messages per query, unless the connection
/// limit requires more bundles.
constexpr size_t kMaxBundles = 10;

/// Plans up to kMaxBundles bundles and divides the instances among them. Plans more bundles if the
/// connection limit does not allow that many sharers per bundle.
BundlePlan
PlanBundles(const PlanInput& aInput);

/// The instances that serve a group, in order of preference.
struct GroupRoute
{
  size_t bundle = 0;
  /// The instances that own the group's bundle.
  std::vector<std::string> owners;
  /// The next instances in rendezvous order. They serve with a small connection reserve if no owner
  /// is reachable.
  std::vector<std::string> standbys;

  bool operator==(const GroupRoute&) const = default;
};

/// The routes of all groups of one service in one region.
class Assignment
{
public:
  const BundlePlan& Plan() const { return this->plan; }

  /// The route of a group, or null if the group is not assigned.
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

/// Assigns groups to instances by rendezvous hashing with bounded loads: every instance gets at
/// most 25 % more than an even share, and few groups move when an instance joins or leaves.
/// Precondition: aInstances is not empty.
Assignment
Assign(std::vector<std::string> aInstances,
       std::vector<std::string> aGroups,
       size_t aConnectionLimit,
       size_t aForcedSharers = 0);

/// Sorts names by their rendezvous score for a key, highest first.
std::vector<std::string>
RendezvousOrder(std::string_view aKey, const std::vector<std::string>& aNames);

} // namespace sapphirewind::routing
