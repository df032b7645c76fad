/// @file Divides requests among weighted services by count, so that shares hold over short spans.
#pragma once

#include <directory/Configuration.h>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::dispatch {

/// How far each service of a split is behind its share.
struct SplitState
{
  std::map<std::string, double> currentWeight;
};

/// The service for the next request, by smooth weighted round robin.
/// Precondition: aDestinations is not empty.
const std::string&
NextDestination(SplitState& aState, const std::vector<directory::WeightedService>& aDestinations);

} // namespace sapphirewind::dispatch
