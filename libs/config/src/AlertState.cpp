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

/// The matching metric that is furthest beyond the threshold; null if none matches.
const MetricValue*
FindWorstValue(const AlertRule& aRule, const std::vector<MetricValue>& aMetrics)
{
  const MetricValue* worst = nullptr;
  for (const MetricValue& metric : aMetrics) {
    if (!Matches(aRule, metric)) {
      continue;
    }
    bool above = aRule.comparison == Comparison::Above;
    if (!worst || (above ? metric.value > worst->value : metric.value < worst->value)) {
      worst = &metric;
    }
  }
  return worst;
}

} // namespace

bool
Matches(const AlertRule& aRule, const MetricValue& aMetric)
{
  if (aRule.metric != aMetric.metric) {
    return false;
  }
  return std::all_of(aRule.labels.begin(), aRule.labels.end(), [&](const Label& aLabel) {
    return std::find(aMetric.labels.begin(), aMetric.labels.end(), aLabel) != aMetric.labels.end();
  });
}

std::vector<AlertStatus>
EvaluateAlerts(const std::vector<AlertRule>& aRules,
               const std::vector<MetricValue>& aMetrics,
               AlertEvaluationState& aState,
               base::Instant aNow)
{
  std::vector<AlertStatus> statuses;
  for (const AlertRule& rule : aRules) {
    AlertStatus status{ .name = rule.name, .firing = false, .value = 0.0 };
    const MetricValue* worst = FindWorstValue(rule, aMetrics);
    if (worst && IsBeyond(rule, worst->value)) {
      auto [since, added] = aState.conditionTrueSince.try_emplace(rule.line, aNow);
      status.firing = aNow - since->second >= rule.holdDuration;
    } else {
      aState.conditionTrueSince.erase(rule.line);
    }
    status.value = worst ? worst->value : 0.0;
    statuses.push_back(status);
  }
  return statuses;
}

} // namespace sapphirewind::config
