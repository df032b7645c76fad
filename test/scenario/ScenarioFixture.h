/// @file What a scenario acts on: stand-ins in this process, instances as processes of their own.
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
  /// Ended on our request, and how.
  bool ended = false;
  bool asked = false;
  int exitCode = 0;
};

struct FixtureOptions
{
  /// The daemon's program file.
  std::string daemon;
  /// A folder for settings and logs.
  std::string folder;
  /// The folder with configurations that scenarios name.
  std::string configurations;
  uint16_t firstPort = 20000;
};

/// Holds everything that runs; ends it all on destruction.
class ScenarioFixture
{
public:
  explicit ScenarioFixture(FixtureOptions aOptions);
  ~ScenarioFixture();
  ScenarioFixture(const ScenarioFixture&) = delete;
  ScenarioFixture& operator=(const ScenarioFixture&) = delete;

  /// Servers of a group stand in the regions in turn.
  void StartUpstreams(const std::string& aSpec,
                      double aMeanMs,
                      const std::vector<std::string>& aRegions = { "r1" });
  /// Instances stand in the regions in turn.
  void StartInstances(size_t aCount, const std::vector<std::string>& aRegions = { "r1" });
  void StartInstance(size_t aNumber);
  void WaitReady();
  void Signal(size_t aNumber, int aSignal);
  void Kill(size_t aNumber);
  void Freeze(size_t aNumber, base::Duration aFor);
  /// Asks for a graceful stop and records the exit code, in the background.
  void StopGracefully(size_t aNumber);

  fakes::InMemoryStore& Platform() { return this->platform.Store(); }
  fakes::Fleet& Fleet() { return *this->fleet; }
  void ChangePlatform(const std::function<void(fakes::PlatformFaults&)>& aChange);
  /// Runs later, in the background; all such actions end before checks begin.
  void After(base::Duration aDelay, std::function<void()> aAction);
  void WaitForBackground();

  void Publish(const std::vector<int64_t>& aSerials);
  void Apply(const std::string& aFile, const std::string& aAuthor);

  void StartLoad(const std::string& aStreams, base::Duration aFor, size_t aResends);
  /// Sends a query that crashes whatever server runs it, in the background.
  void SendCrashing(size_t aTimes, base::Duration aEvery);
  /// The samples of all loads, once they have ended.
  const std::vector<load::Sample>& Samples();

  const std::vector<InstanceProcess>& Instances() const { return this->instances; }
  uint64_t GenerationOf(size_t aNumber);
  /// Generations that went down at some instance between two looks.
  size_t GenerationsFallen() const { return this->generationsFallen; }

  uint64_t seed = 1;

private:
  void ListInstances();
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
  std::atomic<bool> ending{ false };
  std::atomic<size_t> generationsFallen{ 0 };
  std::thread generationWatcher;
};

} // namespace sapphirewind::test
