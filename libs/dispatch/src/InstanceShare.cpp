#include <dispatch/InstanceShare.h>

#include <algorithm>

namespace sapphirewind::dispatch {

double
ComputeInstanceShare(const InstanceShareInput& aInput)
{
  size_t instances = std::max<size_t>(1, aInput.instances);
  size_t inRegion = std::clamp<size_t>(aInput.instancesInRegion, 1, instances);
  size_t inOtherRegions = std::max<size_t>(1, instances - inRegion);
  bool allInRegion = instances == inRegion;
  double regionPart = allInRegion ? 1.0 : aInput.regionPart;
  return aInput.sameRegion ? regionPart / static_cast<double>(inRegion)
                           : (1.0 - regionPart) / static_cast<double>(inOtherRegions);
}

InstanceArc
ComputeInstanceArc(const std::vector<directory::InstanceEntry>& aInstances,
                   const directory::InstanceEntry& aSelf,
                   const std::string& aServerRegion)
{
  bool selfInRegion = aSelf.region == aServerRegion;
  // Instances in the server's region and in others, and of these the ones before this instance.
  size_t inRegion = selfInRegion ? 1 : 0;
  size_t elsewhere = selfInRegion ? 0 : 1;
  size_t inRegionBefore = 0;
  size_t elsewhereBefore = 0;
  for (const directory::InstanceEntry& entry : aInstances) {
    if (entry.name == aSelf.name) {
      continue;
    }
    bool isInRegion = entry.region == aServerRegion;
    bool isBefore = entry.name < aSelf.name;
    (isInRegion ? inRegion : elsewhere) += 1;
    (isInRegion ? inRegionBefore : elsewhereBefore) += isBefore ? 1 : 0;
  }
  // A region without instances, or without others, leaves everything to the rest.
  double regionPart = inRegion == 0 ? 0.0 : (elsewhere == 0 ? 1.0 : kRegionPart);
  double inRegionShare = regionPart / static_cast<double>(std::max<size_t>(1, inRegion));
  double elsewhereShare = (1.0 - regionPart) / static_cast<double>(std::max<size_t>(1, elsewhere));
  return { .start = inRegionShare * static_cast<double>(inRegionBefore) +
                    elsewhereShare * static_cast<double>(elsewhereBefore),
           .length = selfInRegion ? inRegionShare : elsewhereShare };
}

} // namespace sapphirewind::dispatch
