/// @file Evaluates alert rules against metric values, including their hold durations.
#pragma once

#include <base/Time.h>
#include <config/Configuration.h>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::config {

/// One metric value with its labels, as input to the alert rules.
struct MetricValue
{
  std::string metric;
  std::vector<Label> labels;
  double value = 0.0;
};

struct AlertStatus
{
  std::string name;
  bool firing = false;
  double value = 0.0;
};

/// The state kept between evaluations: since when the condition of each rule has been true.
struct AlertEvaluationState
{
  std::map<std::string, base::Instant> conditionTrueSince;
};

/// Whether the metric has the rule's name and all of its labels.
bool
Matches(const AlertRule& aRule, const MetricValue& aMetric);

/// Evaluates every rule. A rule fires when at least one matching metric has been beyond the
/// threshold for the hold duration. Without a matching metric the condition is false.
std::vector<AlertStatus>
EvaluateAlerts(const std::vector<AlertRule>& aRules,
               const std::vector<MetricValue>& aMetrics,
               AlertEvaluationState& aState,
               base::Instant aNow);

} // namespace sapphirewind::config
