/// @file Scatter-gather of one query over the owners of its groups.
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
#include <tier/ServingState.h>
#include <vector>

namespace sapphirewind::tier {

/// State of the instance that scatter operations use.
struct ScatterContext
{
  std::string self;
  CellTable& cells;
  PeerClient& peers;
  Executor& executor;
  config::Experiment experiment;
};

/// The answers received for a query.
struct ScatterOutcome
{
  std::map<std::string, model::GroupResult> groups;
  std::vector<model::Hit> hits;
};

/// How a query that no upstream server has answered yet is first run on a single group.
struct Canary
{
  /// The group that runs the query first; if empty, all groups run it at once.
  std::string group;
  /// Waits for the group's answer, rather than only for CanaryState::Passed.
  bool strict = false;
};

/// Sends a query to the owners of its groups, with at most one message per owner, and fails over to
/// another instance if an owner is unreachable or unresponsive. Returns by the deadline with the
/// answers received until then. With a canary, the other groups are queried only after the canary's
/// group has shown the request to be harmless.
ScatterOutcome
RunScatter(ScatterContext& aContext,
           AvoidedPeers& aAvoided,
           const ServingStatePointer& aState,
           const model::ScatterRequest& aRequest,
           const Canary& aCanary,
           base::Instant aDeadline);

} // namespace sapphirewind::tier
