/// @file One query's way to the owners of its groups and back.
#pragma once

#include <base/Time.h>
#include <map>
#include <memory>
#include <model/Peer.h>
#include <mutex>
#include <set>
#include <string>
#include <tier/CellTable.h>
#include <tier/Executor.h>
#include <tier/PeerClient.h>
#include <tier/World.h>
#include <vector>

namespace sapphirewind::tier {

/// What scatters share with the rest of the instance.
struct ScatterContext
{
  std::string self;
  CellTable& cells;
  PeerClient& peers;
  Executor& executor;
  config::Experiment experiment;
};

/// Instances that a call just could not reach; they are passed over for a moment, before the
/// membership has noticed. Thread-safe.
class AvoidedPeers
{
public:
  void Note(const std::string& aName, base::Instant aNow);
  bool IsAvoided(const std::string& aName, base::Instant aNow) const;

  /// Whether a peer may be pinged now; at most one ping a peer in the time that one may take.
  bool TakePing(const std::string& aName, base::Instant aNow);

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

/// Everything that came back for a query.
struct ScatterOutcome
{
  std::map<std::string, model::GroupAnswer> groups;
  std::vector<model::Hit> hits;
};

/// How a query that no upstream has answered yet is tried at one group first.
struct Canary
{
  /// The group tried first; empty tries all at once.
  std::string group;
  /// Waits for the group's whole answer rather than for the request's survival there.
  bool strict = false;
};

/// Sends a query's groups to their owners, at most one message an owner; asks the next in order
/// when an owner cannot be reached or has fallen silent; returns by the deadline with what has
/// come. With a canary, the other groups are asked only once its group shows the request to be
/// harmless.
ScatterOutcome
RunScatter(ScatterContext& aContext,
           AvoidedPeers& aAvoided,
           const WorldPointer& aWorld,
           const model::ScatterRequest& aRequest,
           const Canary& aCanary,
           base::Instant aDeadline);

} // namespace sapphirewind::tier
