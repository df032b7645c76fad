#include <dispatch/ConnectionShare.h>

#include <algorithm>
#include <cmath>

namespace sapphirewind::dispatch {

namespace {

/// Fraction of a server's connection limit that all instances use together. The rest allows for
/// instance counts that are out of date.
constexpr double kUsableFraction = 0.9;
/// The same after a start, while connections from before the restart may still be open.
constexpr double kUsableFractionAfterStart = 0.55;
/// Fraction of the usable connections for the instances in the server's region.
constexpr double kSameRegionFraction = 0.5;
constexpr double kSameRegionFractionAfterStart = 0.6;

} // namespace

ConnectionShare
ComputeConnectionShare(const ConnectionShareInput& aInput)
{
  size_t instances = std::max<size_t>(1, aInput.instances);
  size_t inRegion = std::clamp<size_t>(aInput.instancesInRegion, 1, instances);
  size_t inOtherRegions = std::max<size_t>(1, instances - inRegion);
  bool allInRegion = instances == inRegion;
  double sameRegionFraction =
    aInput.recentlyStarted ? kSameRegionFractionAfterStart : kSameRegionFraction;
  double fraction =
    allInRegion ? 1.0 : (aInput.sameRegion ? sameRegionFraction : 1.0 - sameRegionFraction);
  double usableFraction = aInput.recentlyStarted ? kUsableFractionAfterStart : kUsableFraction;
  double sharers = static_cast<double>(aInput.sameRegion ? inRegion : inOtherRegions);
  double share = usableFraction * static_cast<double>(aInput.limit) * fraction / sharers;
  ConnectionShare result;
  result.maxInUse = static_cast<unsigned>(std::max(1.0, std::round(share)));
  // Instances keep an idle connection only if the limit has room for one of each instance.
  bool allFit =
    static_cast<double>(instances) <= usableFraction * static_cast<double>(aInput.limit);
  result.maxIdle = allFit ? 1 : 0;
  return result;
}

} // namespace sapphirewind::dispatch
