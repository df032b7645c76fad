/// A randomized soak: real instances as processes, faults from outside, promises checked from what
/// callers and servers see. Prints the seed, what it did and every broken promise.
#include "FaultInjector.h"
#include "LoadGenerator.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(program, "", "The instance's program.");
DEFINE_uint64(seed, 1, "What faults and callers are drawn from.");
DEFINE_int32(seconds, 10, "How long faults are injected.");
DEFINE_int32(instances, 3, "Instances.");
DEFINE_int32(callers, 6, "Callers.");
DEFINE_bool(verbose, false, "Print each fault.");

namespace {

using namespace sapphirewind;
using namespace sapphirewind::test;

/// The pause between two faults.
constexpr base::Duration kBetweenFaults = std::chrono::milliseconds(150);
/// Within this all instances must be ready again once faults ended; the platform allows 12 s.
constexpr base::Duration kRecovery = std::chrono::seconds(12);
/// After the last answer an attempt may still run: the routes' timeout.
constexpr base::Duration kLastRuns = std::chrono::milliseconds(2100);

bool
AwaitRecovery(ProcessCluster& aFleet)
{
  base::Instant until = base::Now() + kRecovery;
  while (base::Now() < until) {
    aFleet.RestartEnded();
    bool all = std::all_of(aFleet.instances.begin(), aFleet.instances.end(), [&](const auto& aOne) {
      return aFleet.IsReady(aOne);
    });
    if (all) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

/// Every instance must serve each kind of request again.
void
CheckService(const ProcessCluster& aFleet, std::vector<std::string>& aViolations)
{
  for (const InstanceProcess& instance : aFleet.instances) {
    for (const char* target : { "/q/after", "/p/after" }) {
      TestRequest ask{ .target = target, .id = "after-" + instance.callerAddress + target };
      auto answer = Caller(instance.callerAddress).Exchange(ask);
      if (!answer || answer->result_int() != 200) {
        aViolations.push_back(instance.callerAddress + " does not serve " + target);
      }
    }
  }
}

void
CheckBookings(const ProcessCluster& aFleet, LoadResult& aRecord)
{
  for (const std::string& id : aRecord.bookings) {
    if (aFleet.RunsOf(id) > 1) {
      aRecord.violations.push_back("booking " + id + " ran twice");
    }
  }
  for (const std::string& id : aRecord.refusedBookings) {
    if (aFleet.RunsOf(id) > 0) {
      aRecord.violations.push_back("booking " + id + " was refused as not run, and ran");
    }
  }
}

LoadResult
Soak(ProcessCluster& aFleet)
{
  LoadGenerator load(aFleet, FLAGS_seed, static_cast<size_t>(FLAGS_callers));
  FaultInjector faults(aFleet, FLAGS_seed);
  base::Instant end = base::Now() + std::chrono::seconds(FLAGS_seconds);
  while (base::Now() < end) {
    std::string fault = faults.Step(base::Now());
    if (FLAGS_verbose) {
      std::cout << fault << "\n";
    }
    std::this_thread::sleep_for(kBetweenFaults);
  }
  aFleet.Heal();
  bool recovered = AwaitRecovery(aFleet);
  LoadResult record = load.Finish();
  if (!recovered) {
    record.violations.push_back("not all instances were ready again in time");
  }
  return record;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("injects faults around real instances and checks what they promise");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::path folder =
    std::filesystem::temp_directory_path() / ("sapphirewind-soak-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  LoadResult record;
  {
    ProcessCluster fleet({ .program = FLAGS_program,
                           .folder = folder,
                           .instances = static_cast<size_t>(FLAGS_instances),
                           .seed = FLAGS_seed });
    if (!AwaitRecovery(fleet)) {
      record.violations.push_back("the fleet did not start");
    } else {
      record = Soak(fleet);
      std::this_thread::sleep_for(kLastRuns);
      CheckService(fleet, record.violations);
      CheckBookings(fleet, record);
    }
  }
  std::cout << "seed " << FLAGS_seed << ": asked " << record.asked << ", served " << record.served
            << ", bookings " << record.bookings.size() << ", refused "
            << record.refusedBookings.size() << ", broken promises " << record.violations.size()
            << "\n";
  for (const std::string& violation : record.violations) {
    std::cout << "  " << violation << "\n";
  }
  if (record.violations.empty()) {
    std::filesystem::remove_all(folder);
  } else {
    std::cout << "  logs: " << folder << "\n";
  }
  bool idle = record.served == 0;
  return record.violations.empty() && !idle ? 0 : 1;
}
