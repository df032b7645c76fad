/// @file The operators' configuration: request classes with their targets, and alert rules.
#pragma once

#include <base/Time.h>
#include <document/Document.h>
#include <model/Work.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::config {

/// A class of requests and its service level targets.
struct RequestClass
{
  std::string name;
  std::string service;
  model::Rank rank = model::Rank::Everyday;
  base::Duration latencyTarget{ 0 };
  /// The share of requests that must meet the latency target.
  double latencyTargetShare = 0.99;
  double minCoverage = 1.0;
  /// The share of the service's capacity that is guaranteed to the class under overload.
  double guaranteedShare = 0.0;

  bool operator==(const RequestClass&) const = default;
};

enum class Comparison
{
  Above,
  Below
};

struct Label
{
  std::string name;
  std::string value;

  auto operator<=>(const Label&) const = default;
};

/// One alert rule: `name: metric{label="value"} > 5 for 30s`.
struct AlertRule
{
  std::string line; ///< The source text of the rule.
  std::string name;
  std::string metric;
  std::vector<Label> labels;
  Comparison comparison = Comparison::Above;
  double threshold = 0.0;
  base::Duration holdDuration{ 0 };

  bool operator==(const AlertRule&) const = default;
};

/// A complete configuration, valid by construction.
struct Configuration
{
  std::vector<RequestClass> classes;
  std::vector<AlertRule> alerts;

  bool operator==(const Configuration&) const = default;

  const RequestClass* FindClass(std::string_view aName) const;
};

/// Parses and validates a configuration. If there are problems, reports all of them and returns
/// nothing.
std::optional<Configuration>
ParseConfiguration(std::string_view aText, document::Problems& aProblems);

/// Parses one alert rule. On failure, aError describes what is expected.
std::optional<AlertRule>
ParseAlertRule(const std::string& aLine, std::string& aError);

/// Describes each difference on a line of its own, for the audit trail.
std::vector<std::string>
DescribeChanges(const Configuration& aBefore, const Configuration& aAfter);

/// The names of the metrics that alert rules may use.
const std::vector<std::string>&
AlertableMetrics();

} // namespace sapphirewind::config
