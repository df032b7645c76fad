/// @file The usual metrics text, written by prometheus-cpp from figures kept elsewhere.
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

/// One figure under a metric's name.
struct Sample
{
  std::string metric;
  std::vector<SampleLabel> labels;
  double value = 0.0;
};

/// The text for samples; the ones of one metric stand together.
std::string
WriteExposition(const std::vector<Sample>& aSamples);

} // namespace sapphirewind::telemetry
