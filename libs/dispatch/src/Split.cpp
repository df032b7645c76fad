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
    double& currentWeight = aState.currentWeight[destination.service];
    currentWeight += destination.weight;
    total += destination.weight;
    bool isNext = next == nullptr || currentWeight > aState.currentWeight[next->service];
    next = isNext ? &destination : next;
  }
  aState.currentWeight[next->service] -= total;
  return next->service;
}

} // namespace sapphirewind::dispatch
