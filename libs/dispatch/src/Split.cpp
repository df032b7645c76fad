#include <dispatch/Split.h>

#include <cassert>

namespace sapphirewind::dispatch {

const std::string&
NextDestination(SplitState& aState, const std::vector<directory::WeightedService>& aDestinations)
{
  assert(!aDestinations.empty());
  double total = 0.0;
  const directory::WeightedService* next = nullptr;
  for (const directory::WeightedService& destination : aDestinations) {
    double& credit = aState.credit[destination.service];
    credit += destination.weight;
    total += destination.weight;
    bool ahead = next == nullptr || credit > aState.credit[next->service];
    next = ahead ? &destination : next;
  }
  aState.credit[next->service] -= total;
  return next->service;
}

} // namespace sapphirewind::dispatch
