/// @file The status of an instance for operators, and the figures for alerts and metrics.
#pragma once

#include <config/AlertState.h>
#include <json/value.h>
#include <membership/View.h>
#include <string>
#include <telemetry/ClassMetrics.h>
#include <telemetry/Exposition.h>
#include <tier/AdmissionController.h>
#include <tier/CellTable.h>
#include <tier/ServingState.h>
#include <tier/SharedState.h>
#include <vector>

namespace sapphirewind::tier {

/// A copy of the state that a status page is written from.
struct StatusInput
{
  std::string name;
  bool ready = false;
  bool stopping = false;
  ServingStatePointer servingState;
  membership::View view;
  bool watcher = false;
  base::Duration storeUnreachable{ 0 };
  base::Duration configurationAge{ 0 };
  std::vector<CellStatus> cells;
  std::vector<telemetry::ClassStatistics> classes;
  std::vector<config::AlertStatus> alerts;
  std::vector<quarantine::QuarantinedRequest> quarantined;
  std::vector<LeavingServer> leaving;
};

Json::Value
WriteStatus(const StatusInput& aInput, const Counters& aCounters, base::Instant aNow);

/// The figures that alert rules are evaluated on.
std::vector<config::MetricValue>
CollectFigures(const StatusInput& aInput, const Counters& aCounters, base::Instant aNow);

/// The figures and counters as metrics.
std::vector<telemetry::Sample>
ToSamples(const std::vector<config::MetricValue>& aFigures, const Counters& aCounters);

} // namespace sapphirewind::tier
