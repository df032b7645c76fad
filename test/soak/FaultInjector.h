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

  std::string InjectNextFault(base::Instant aNow);
  std::string InjectProcessFault(base::Instant aNow);
  std::string InjectStoreFault(base::Instant aNow);
  std::string InjectNetworkFault(base::Instant aNow);
  std::string InjectServerFault(base::Instant aNow);
  std::string RunOperatorAction(base::Instant aNow);
  /// Injects a short fault beside the one of this step, in some steps; empty otherwise.
  std::string InjectOverlappingFault(base::Instant aNow);
  /// Lets a server turn everything away for a while and name a time.
  std::string OverloadServer(base::Instant aNow);
  /// Lets a server say that it leaves; it starts again some time after it need not serve any more.
  std::string ReplaceServer(base::Instant aNow);
  /// Schedules the end of a fault after a random delay of up to kMaxFaultDuration.
  void ScheduleRecovery(base::Instant aNow, std::function<void()> aRecover);
  InstanceProcess& RandomInstance();
  RelayedServer& RandomServer();

  ProcessCluster& cluster;
  base::Random random;
  /// Drawn from separately, so that new faults leave the sequence of a known seed as it was.
  base::Random overlapRandom;
  std::vector<ScheduledRecovery> recoveries;
};

} // namespace sapphirewind::test
