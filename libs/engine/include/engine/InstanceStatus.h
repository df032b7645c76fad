/// @file What an instance believes at a moment, for the operator and the metrics.
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
  /// The configuration in force; 0 before the first.
  uint64_t version = 0;
  base::Duration versionAge{ 0 };
  /// Since the source of the table of servers answered.
  base::Duration serverTableAge{ 0 };
  bool storeLost = false;
  /// "store", or the address of the instance that mirrors it.
  std::string follows;
  size_t serversReady = 0;
  size_t serversDraining = 0;
  size_t serversEjected = 0;
  /// The lowest budget of second sends of all services, from 0 to 1, and whose it is.
  double lowestBudget = 1.0;
  std::string lowestBudgetService;
  size_t instances = 0;
  size_t sessions = 0;
  /// Requests that are suspected or refused as servers crashed under them.
  size_t suspects = 0;
  uint64_t logLinesDropped = 0;
};

Json::Value
ToJson(const InstanceStatus& aStatus);

} // namespace sapphirewind::engine
