/// @file Splits requests among weighted services by smooth weighted round robin, so that the shares
/// also hold over short sequences of requests.
#pragma once

#include <directory/Configuration.h>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::dispatch {

/// Current weight of each service of a split: how far it is behind its share.
struct SplitState
{
  std::map<std::string, double> currentWeight;
};

/// The service for the next request.
/// Precondition: aDestinations is not empty.
const std::string&
NextDestination(SplitState& aState, const std::vector<directory::WeightedService>& aDestinations);

} // namespace sapphirewind::dispatch
