#include <dispatch/ConnectionShare.h>

#include <algorithm>
#include <cmath>
#include <dispatch/InstanceShare.h>

namespace sapphirewind::dispatch {

namespace {

/// Fraction of a server's connection limit that all instances use together. The rest allows for
/// instance counts that are out of date.
constexpr double kUsableFraction = 0.9;
/// The same after a start, while connections from before the restart may still be open.
constexpr double kUsableFractionAfterStart = 0.55;
/// Part of the usable connections for the instances in the server's region after a start; otherwise
/// kRegionPart.
constexpr double kRegionPartAfterStart = 0.6;

} // namespace

ConnectionShare
ComputeConnectionShare(const ConnectionShareInput& aInput)
{
  double usableFraction = aInput.recentlyStarted ? kUsableFractionAfterStart : kUsableFraction;
  double part = ComputeInstanceShare(
    { .instancesInRegion = aInput.instancesInRegion,
      .instances = aInput.instances,
      .sameRegion = aInput.sameRegion,
      .regionPart = aInput.recentlyStarted ? kRegionPartAfterStart : kRegionPart });
  double share = usableFraction * static_cast<double>(aInput.limit) * part;
  ConnectionShare result;
  result.maxInUse = static_cast<unsigned>(std::max(1.0, std::round(share)));
  // Instances keep an idle connection only if the limit has room for one of each instance.
  bool allFit =
    static_cast<double>(aInput.instances) <= usableFraction * static_cast<double>(aInput.limit);
  result.maxIdle = allFit ? 1 : 0;
  return result;
}

} // namespace sapphirewind::dispatch
