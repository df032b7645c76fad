/// @file Evaluates alert rules against figures, with their hold times.
#pragma once

#include <base/Time.h>
#include <config/Configuration.h>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::config {

/// One figure that rules are evaluated against.
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

/// When each rule's condition began to hold.
struct AlertEvaluationState
{
  std::map<std::string, base::Instant> trueSince;
};

/// Whether a figure has all of a rule's labels.
bool
Matches(const AlertRule& aRule, const MetricValue& aFigure);

/// The status of every rule now. A rule fires when any matching figure has been beyond its
/// threshold for the hold time; no matching figure means that it does not hold.
std::vector<AlertStatus>
EvaluateAlerts(const std::vector<AlertRule>& aRules,
               const std::vector<MetricValue>& aFigures,
               AlertEvaluationState& aMemory,
               base::Instant aNow);

} // namespace sapphirewind::config
