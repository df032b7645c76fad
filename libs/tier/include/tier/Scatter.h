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
#include <tier/OwnerChoice.h>
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

/// Everything that came back for a query.
struct ScatterOutcome
{
  std::map<std::string, model::GroupResult> groups;
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
