/// @file What an instance says of itself: status for operators, figures for alerts and metrics.
#pragma once

#include <config/AlertState.h>
#include <json/value.h>
#include <membership/View.h>
#include <string>
#include <telemetry/ClassMetrics.h>
#include <telemetry/Exposition.h>
#include <tier/CellTable.h>
#include <tier/Gate.h>
#include <tier/Shared.h>
#include <tier/World.h>
#include <vector>

namespace sapphirewind::tier {

/// A moment's state, gathered for one page.
struct StatusInput
{
  std::string name;
  bool ready = false;
  bool stopping = false;
  WorldPointer world;
  membership::View view;
  bool watcher = false;
  base::Duration storeUnreachable{ 0 };
  base::Duration configurationAge{ 0 };
  std::vector<CellStatus> cells;
  std::vector<telemetry::ClassStatistics> classes;
  std::vector<config::AlertStatus> alerts;
  std::vector<quarantine::QuarantinedRequest> condemned;
  std::vector<LeavingServer> leaving;
};

Json::Value
WriteStatus(const StatusInput& aInput, const Counters& aCounters, base::Instant aNow);

/// The figures that alert rules are evaluated against.
std::vector<config::MetricValue>
FiguresOf(const StatusInput& aInput, const Counters& aCounters, base::Instant aNow);

/// The same figures, and counters, as metrics.
std::vector<telemetry::Sample>
SamplesOf(const std::vector<config::MetricValue>& aFigures, const Counters& aCounters);

} // namespace sapphirewind::tier
