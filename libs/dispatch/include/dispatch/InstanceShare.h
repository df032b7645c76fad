/// @file One instance's part of something that a server limits for all instances together.
///
/// Instances in the server's region get larger parts than others, as they prefer this server. The
/// parts of all instances add up to one while their lists of the instances agree.
#pragma once

#include <compare>
#include <cstddef>
#include <directory/InstanceTracker.h>

namespace sapphirewind::dispatch {

/// The part for all instances in the server's region together, if there are others.
constexpr double kRegionPart = 0.5;

struct InstanceShareInput
{
  /// Instances in the server's region, and in all regions.
  size_t instancesInRegion = 1;
  size_t instances = 1;
  /// Whether this instance is in the server's region.
  bool sameRegion = true;
  /// The part for all instances in the server's region together, from 0 to 1.
  double regionPart = kRegionPart;

  auto operator<=>(const InstanceShareInput&) const = default;
};

/// The part of this instance, from 0 to 1.
double
ComputeInstanceShare(const InstanceShareInput& aInput);

/// A part as an interval of [0, 1): whatever falls into it is this instance's. The intervals of
/// instances with the same list do not overlap and leave nothing out.
struct InstanceArc
{
  double start = 0.0;
  double length = 1.0;

  bool Contains(double aPoint) const
  {
    return aPoint >= this->start && aPoint < this->start + this->length;
  }

  auto operator<=>(const InstanceArc&) const = default;
};

/// The interval of an instance for the servers of a region, from the list of all instances. An
/// instance that is not listed yet takes the place that it will have.
InstanceArc
ComputeInstanceArc(const std::vector<directory::InstanceEntry>& aInstances,
                   const directory::InstanceEntry& aSelf,
                   const std::string& aServerRegion);

} // namespace sapphirewind::dispatch
