#include <config/AlertState.h>

#include <algorithm>

namespace sapphirewind::config {

namespace {

bool
IsBeyond(const AlertRule& aRule, double aValue)
{
  return aRule.comparison == Comparison::Above ? aValue > aRule.threshold
                                               : aValue < aRule.threshold;
}

/// The matching figure that is furthest beyond the threshold; null when none matches.
const MetricValue*
FindWorstValue(const AlertRule& aRule, const std::vector<MetricValue>& aFigures)
{
  const MetricValue* worst = nullptr;
  for (const MetricValue& figure : aFigures) {
    if (!Matches(aRule, figure)) {
      continue;
    }
    bool above = aRule.comparison == Comparison::Above;
    if (!worst || (above ? figure.value > worst->value : figure.value < worst->value)) {
      worst = &figure;
    }
  }
  return worst;
}

} // namespace

bool
Matches(const AlertRule& aRule, const MetricValue& aFigure)
{
  if (aRule.metric != aFigure.metric) {
    return false;
  }
  return std::all_of(aRule.labels.begin(), aRule.labels.end(), [&](const Label& aLabel) {
    return std::find(aFigure.labels.begin(), aFigure.labels.end(), aLabel) != aFigure.labels.end();
  });
}

std::vector<AlertStatus>
EvaluateAlerts(const std::vector<AlertRule>& aRules,
               const std::vector<MetricValue>& aFigures,
               AlertEvaluationState& aMemory,
               base::Instant aNow)
{
  std::vector<AlertStatus> statuses;
  for (const AlertRule& rule : aRules) {
    AlertStatus status{ .name = rule.name, .firing = false, .value = 0.0 };
    const MetricValue* worst = FindWorstValue(rule, aFigures);
    if (worst && IsBeyond(rule, worst->value)) {
      auto [since, added] = aMemory.trueSince.try_emplace(rule.line, aNow);
      status.firing = aNow - since->second >= rule.holdDuration;
    } else {
      aMemory.trueSince.erase(rule.line);
    }
    status.value = worst ? worst->value : 0.0;
    statuses.push_back(status);
  }
  return statuses;
}

} // namespace sapphirewind::config
