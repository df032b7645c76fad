/// @file How many connections one instance may hold to a server that limits the total over all
/// instances.
///
/// After a power loss, the connections of the failed instances stay open at the server until their
/// idle timeout. For some time after their start, all instances together therefore use little more
/// than half of the server's limit, so that restarted instances can connect beside the stale
/// connections. Instances in the server's region get larger shares, as they prefer this server.
#pragma once

#include <base/Time.h>
#include <compare>
#include <cstddef>

namespace sapphirewind::dispatch {

struct ConnectionShareInput
{
  /// Connections that the server accepts from all instances together.
  unsigned limit = 1;
  /// Instances in the server's region, and in all regions.
  size_t instancesInRegion = 1;
  size_t instances = 1;
  /// Whether this instance is in the server's region.
  bool sameRegion = true;
  /// Whether this instance started less than kReducedSharePeriod ago.
  bool recentlyStarted = false;
};

/// Time after its start during which an instance uses a reduced share. Longer than the idle
/// timeout after which servers close unused connections.
constexpr base::Duration kReducedSharePeriod = std::chrono::seconds(15);

struct ConnectionShare
{
  /// Maximum number of connections in use at a time; at least one.
  unsigned maxInUse = 1;
  /// Maximum number of idle connections that are kept open.
  unsigned maxIdle = 1;

  auto operator<=>(const ConnectionShare&) const = default;
};

ConnectionShare
ComputeConnectionShare(const ConnectionShareInput& aInput);

} // namespace sapphirewind::dispatch
