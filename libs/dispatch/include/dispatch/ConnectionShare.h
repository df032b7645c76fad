/// @file How many connections one instance may hold to a server that bounds those of all.
///
/// Connections of instances that lost power stay open at the server until it times them out. So for
/// some time after their start instances together use little more than half of what it accepts: a
/// fleet that restarts finds room beside its former connections. Instances in the server's region
/// get the larger part, as they send there first.
#pragma once

#include <base/Time.h>
#include <compare>
#include <cstddef>

namespace sapphirewind::dispatch {

struct ConnectionShareInput
{
  /// Connections that the server accepts from all instances.
  unsigned limit = 1;
  /// Instances in the server's region, and everywhere.
  size_t instancesInRegion = 1;
  size_t instances = 1;
  /// Whether this instance is in the server's region.
  bool sameRegion = true;
  /// Whether this instance started lately.
  bool recentlyStarted = false;
};

/// How long after its start an instance is careful: past the time after which servers close
/// connections that are not used.
constexpr base::Duration kReducedSharePeriod = std::chrono::seconds(15);

struct ConnectionShare
{
  /// Connections in use at a time; at least one.
  unsigned maxInUse = 1;
  /// Connections that are kept while unused.
  unsigned maxIdle = 1;

  auto operator<=>(const ConnectionShare&) const = default;
};

ConnectionShare
ComputeConnectionShare(const ConnectionShareInput& aInput);

} // namespace sapphirewind::dispatch
