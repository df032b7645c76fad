/// @file A plain plot of latencies as SVG.
#pragma once

#include <load/Load.h>
#include <string>
#include <vector>

namespace sapphirewind::load {

/// The share of answered requests against latency, one line a class, latency on a logarithmic axis.
std::string
PlotLatencies(const std::vector<Sample>& aSamples, const std::vector<std::string>& aClasses);

} // namespace sapphirewind::load
