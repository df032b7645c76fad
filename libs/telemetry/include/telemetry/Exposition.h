/// @file Writes samples in the Prometheus text exposition format, using prometheus-cpp.
#pragma once

#include <string>
#include <vector>

namespace sapphirewind::telemetry {

struct SampleLabel
{
  std::string name;
  std::string value;

  auto operator<=>(const SampleLabel&) const = default;
};

/// One value of a metric. The metric's name is given without the prefix "sapphirewind_".
struct Sample
{
  std::string metric;
  std::vector<SampleLabel> labels;
  double value = 0.0;
};

/// Formats samples; all samples of one metric form one metric family.
std::string
WriteExposition(const std::vector<Sample>& aSamples);

} // namespace sapphirewind::telemetry
