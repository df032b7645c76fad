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

} // namespace sapphirewind::dispatch
