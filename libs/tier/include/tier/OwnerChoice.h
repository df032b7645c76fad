/// @file Selects the instance that serves a group, avoiding instances that were just unreachable.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <map>
#include <mutex>
#include <routing/Assignment.h>
#include <set>
#include <string>

namespace sapphirewind::tier {

/// Timeout of a ping to a peer.
constexpr base::Duration kPingTimeout = std::chrono::milliseconds(100);

/// Instances that were unreachable or unresponsive in a recent call. They are avoided for a short
/// time, until the membership protocol detects the failure. Thread-safe.
class AvoidedPeers
{
public:
  void MarkUnreachable(const std::string& aName, base::Instant aNow);
  bool IsAvoided(const std::string& aName, base::Instant aNow) const;

  /// Returns whether a peer may be pinged now, and records the ping. Limits the pings per peer to
  /// one per half of kPingTimeout.
  bool TryStartPing(const std::string& aName, base::Instant aNow);

private:
  mutable std::mutex mutex;
  std::map<std::string, base::Instant> avoidedUntil;
  std::map<std::string, base::Instant> lastPingAt;
};

/// Returns the instance to query for a group: a random owner that is not avoided, else the first
/// standby, else an avoided owner. Empty if no instance is left. aExcluded holds the instances that
/// were already queried for this group. No side effects except on aRandom.
std::string
ChooseOwner(const routing::GroupRoute& aRoute,
            const std::set<std::string>& aExcluded,
            const std::set<std::string>& aAvoided,
            base::Random& aRandom);

} // namespace sapphirewind::tier
