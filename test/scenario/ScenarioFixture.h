/// @file The fixture of a scenario: fakes in this process and instances as separate processes.
#pragma once

#include "../language/Script.h"
#include <atomic>
#include <fakes/Fleet.h>
#include <fakes/PlatformServer.h>
#include <fakes/Relay.h>
#include <load/Load.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace sapphirewind::test {

/// One instance's process.
struct InstanceProcess
{
  pid_t pid = 0;
  std::string settingsFile;
  std::string region;
  uint16_t port = 0;
  /// The process exited, a graceful stop was requested, and the exit code after such a stop.
  bool exited = false;
  bool stopRequested = false;
  int exitCode = 0;
};

struct FixtureOptions
{
  /// The path of the daemon's executable.
  std::string daemon;
  /// The directory for settings and logs.
  std::string folder;
  /// The directory of the configuration files that scenarios name.
  std::string configurations;
  uint16_t firstPort = 20000;
};

/// Owns all fakes, instances and threads; stops them on destruction.
class ScenarioFixture
{
public:
  explicit ScenarioFixture(FixtureOptions aOptions);
  ~ScenarioFixture();
  ScenarioFixture(const ScenarioFixture&) = delete;
  ScenarioFixture& operator=(const ScenarioFixture&) = delete;

  /// Assigns the servers of each group to the regions round-robin.
  void StartUpstreams(const std::string& aSpec,
                      double aMeanMs,
                      const std::vector<std::string>& aRegions = { "r1" });
  /// Assigns instances to the regions round-robin.
  void StartInstances(size_t aCount, const std::vector<std::string>& aRegions = { "r1" });
  void StartInstance(size_t aNumber);
  void WaitReady();
  void SendSignal(size_t aNumber, int aSignal);
  void Kill(size_t aNumber);
  void Pause(size_t aNumber, base::Duration aFor);
  /// Requests a graceful stop with SIGTERM and records the exit code in the background.
  void StopGracefully(size_t aNumber);

  fakes::InMemoryStore& Platform() { return this->platform.Store(); }
  fakes::Fleet& Fleet() { return *this->fleet; }
  void UpdatePlatformFaults(const std::function<void(fakes::PlatformFaults&)>& aChange);
  /// Runs an action in the background after a delay. WaitForBackground waits for all of them.
  void RunAfter(base::Duration aDelay, std::function<void()> aAction);
  void WaitForBackground();

  void PublishSnapshots(const std::vector<int64_t>& aSerials);
  void Apply(const std::string& aFile, const std::string& aAuthor);

  void StartLoad(const std::string& aStreams, base::Duration aFor, size_t aRetries);
  /// Sends to each instance, in the background, a query that crashes every server that runs it.
  void SendCrashing(size_t aTimes, base::Duration aEvery);
  /// Waits for all loads to end and returns their samples.
  const std::vector<load::Sample>& Samples();

  const std::vector<InstanceProcess>& Instances() const { return this->instances; }
  uint64_t GenerationOf(size_t aNumber);
  /// How often the generation of an instance decreased between two polls.
  size_t GenerationDecreases() const { return this->generationDecreases; }

  uint64_t seed = 1;

private:
  void RegisterInstances();
  void WatchGenerations();
  std::optional<Json::Value> Status(size_t aNumber);

  FixtureOptions options;
  fakes::PlatformServer platform;
  std::unique_ptr<fakes::Fleet> fleet;
  std::vector<InstanceProcess> instances;
  std::vector<std::thread> background;
  std::vector<std::thread> loads;
  std::mutex samplesMutex;
  std::vector<load::Sample> samples;
  size_t loadCount = 0;
  std::atomic<bool> stopping{ false };
  std::atomic<size_t> generationDecreases{ 0 };
  std::thread generationWatcher;
};

} // namespace sapphirewind::test
