/// @file A snapshot of the state of an instance, for the operator and the metrics.
#pragma once

#include <base/Time.h>
#include <json/value.h>
#include <string>

namespace sapphirewind::engine {

struct InstanceStatus
{
  std::string instance;
  bool ready = false;
  bool stopping = false;
  /// Version of the configuration in force; 0 before the first.
  uint64_t version = 0;
  base::Duration versionAge{ 0 };
  /// Time since the source of the server table last answered.
  base::Duration serverTableAge{ 0 };
  bool storeLost = false;
  /// Rises when the store returns from an older copy; 0 if it names no eras.
  uint64_t storeEra = 0;
  /// "store", or the address of the mirror that this instance follows.
  std::string follows;
  size_t serversReady = 0;
  size_t serversDraining = 0;
  size_t serversLeaving = 0;
  size_t serversEjected = 0;
  /// Of those in use, servers that limit their request rate.
  size_t serversLimited = 0;
  /// The remaining part, from 0 to 1, of the emptiest extra-attempt budget, and its service.
  double lowestBudget = 1.0;
  std::string lowestBudgetService;
  size_t instances = 0;
  size_t sessions = 0;
  /// Requests that are suspect or quarantined because servers crashed while running them.
  size_t suspects = 0;
  uint64_t logLinesDropped = 0;
};

Json::Value
ToJson(const InstanceStatus& aStatus);

} // namespace sapphirewind::engine
