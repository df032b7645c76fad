/// @file Which instance to ask for a group, and which to pass over for a moment.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <map>
#include <mutex>
#include <routing/Assignment.h>
#include <set>
#include <string>

namespace sapphirewind::tier {

/// The time that one ping of a peer may take.
constexpr base::Duration kPingTimeout = std::chrono::milliseconds(100);

/// Instances that a call just could not reach; they are passed over for a moment, before the
/// membership has noticed. Thread-safe.
class AvoidedPeers
{
public:
  void MarkUnreachable(const std::string& aName, base::Instant aNow);
  bool IsAvoided(const std::string& aName, base::Instant aNow) const;

  /// Whether a peer may be pinged now; at most one ping a peer in the time that one may take.
  bool TryStartPing(const std::string& aName, base::Instant aNow);

private:
  mutable std::mutex mutex;
  std::map<std::string, base::Instant> until;
  std::map<std::string, base::Instant> pingedAt;
};

/// The instance to ask for a group: an owner that can be reached, else a standby. Pure.
/// aExcluded holds instances already asked for this group. Empty when nobody is left.
std::string
ChooseOwner(const routing::GroupRoute& aRoute,
            const std::set<std::string>& aExcluded,
            const std::set<std::string>& aAvoided,
            base::Random& aRandom);

} // namespace sapphirewind::tier
