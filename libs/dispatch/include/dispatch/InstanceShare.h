/// @file One instance's part of something that a server limits for all instances together.
///
/// Instances in the server's region get larger parts than others, as they prefer this server. The
/// parts of all instances add up to one while their counts of the instances agree.
#pragma once

#include <compare>
#include <cstddef>

namespace sapphirewind::dispatch {

struct InstanceShareInput
{
  /// Instances in the server's region, and in all regions.
  size_t instancesInRegion = 1;
  size_t instances = 1;
  /// Whether this instance is in the server's region.
  bool sameRegion = true;
  /// The part for all instances in the server's region together, from 0 to 1.
  double regionPart = 0.5;

  auto operator<=>(const InstanceShareInput&) const = default;
};

/// The part of this instance, from 0 to 1.
double
ComputeInstanceShare(const InstanceShareInput& aInput);

} // namespace sapphirewind::dispatch
