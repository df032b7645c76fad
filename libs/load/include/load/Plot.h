/// @file SVG plots of latency distributions.
#pragma once

#include <load/Load.h>
#include <string>
#include <vector>

namespace sapphirewind::load {

/// Plots the cumulative distribution of the latencies of answered requests, one line per class,
/// with a logarithmic latency axis.
std::string
PlotLatencies(const std::vector<Sample>& aSamples, const std::vector<std::string>& aClasses);

} // namespace sapphirewind::load
