/// @file Random faults, drawn from a seed: they come in series and overlap.
#pragma once

#include "ProcessCluster.h"

#include <base/Random.h>
#include <functional>

namespace sapphirewind::test {

class FaultInjector
{
public:
  FaultInjector(ProcessCluster& aFleet, uint64_t aSeed);

  /// Begins one fault, and ends those whose time is over. Says what it did.
  std::string Step(base::Instant aNow);

private:
  struct Ending
  {
    base::Instant at{};
    std::function<void()> end;
  };

  std::string HarmProcess(base::Instant aNow);
  std::string HarmStore(base::Instant aNow);
  std::string HarmLink(base::Instant aNow);
  std::string HarmServer(base::Instant aNow);
  std::string PlanWork(base::Instant aNow);
  /// Undoes a fault after a random time.
  void EndLater(base::Instant aNow, std::function<void()> aEnd);
  InstanceProcess& AnyInstance();
  RelayedServer& AnyServer();

  ProcessCluster& fleet;
  base::Random random;
  std::vector<Ending> endings;
};

} // namespace sapphirewind::test
