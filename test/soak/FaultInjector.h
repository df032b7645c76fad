/// @file Injects pseudo-random faults from a seed. Faults follow each other and overlap.
#pragma once

#include "ProcessCluster.h"

#include <base/Random.h>
#include <functional>

namespace sapphirewind::test {

class FaultInjector
{
public:
  FaultInjector(ProcessCluster& aCluster, uint64_t aSeed);

  /// Clears expired faults and injects the next one. Returns its description.
  std::string Step(base::Instant aNow);

private:
  struct ScheduledRecovery
  {
    base::Instant at{};
    std::function<void()> recover;
  };

  std::string InjectProcessFault(base::Instant aNow);
  std::string InjectStoreFault(base::Instant aNow);
  std::string InjectNetworkFault(base::Instant aNow);
  std::string InjectServerFault(base::Instant aNow);
  std::string RunOperatorAction(base::Instant aNow);
  /// Schedules the end of a fault after a random delay of up to kMaxFaultDuration.
  void ScheduleRecovery(base::Instant aNow, std::function<void()> aRecover);
  InstanceProcess& RandomInstance();
  RelayedServer& RandomServer();

  ProcessCluster& cluster;
  base::Random random;
  std::vector<ScheduledRecovery> recoveries;
};

} // namespace sapphirewind::test
