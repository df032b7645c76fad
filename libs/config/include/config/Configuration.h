/// @file The operators' configuration: classes of work with their targets, and alert rules.
#pragma once

#include <base/Time.h>
#include <document/Document.h>
#include <model/Work.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::config {

/// A class of work and what is promised to it.
struct RequestClass
{
  std::string name;
  std::string service;
  model::Rank rank = model::Rank::Everyday;
  base::Duration latencyTarget{ 0 };
  /// The share of requests that the time is promised to.
  double latencyTargetShare = 0.99;
  double minCoverage = 1.0;
  /// The share of the service's capacity that the class keeps in a flood.
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
  std::string line; ///< As the operator wrote it.
  std::string name;
  std::string metric;
  std::vector<Label> labels;
  Comparison comparison = Comparison::Above;
  double threshold = 0.0;
  base::Duration holdDuration{ 0 };

  bool operator==(const AlertRule&) const = default;
};

/// A whole configuration, valid by construction.
struct Configuration
{
  std::vector<RequestClass> classes;
  std::vector<AlertRule> alerts;

  bool operator==(const Configuration&) const = default;

  const RequestClass* FindClass(std::string_view aName) const;
};

/// Parses and checks a configuration. On any problem nothing is returned and every problem is
/// noted.
std::optional<Configuration>
ParseConfiguration(std::string_view aText, document::Problems& aProblems);

/// Parses one alert rule; the error names what is expected.
std::optional<AlertRule>
ParseAlertRule(const std::string& aLine, std::string& aError);

/// One sentence for each difference, for the audit trail.
std::vector<std::string>
DescribeChanges(const Configuration& aBefore, const Configuration& aAfter);

/// The names of the metrics that alert rules may name.
const std::vector<std::string>&
AlertableMetrics();

} // namespace sapphirewind::config
