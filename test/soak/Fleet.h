/// @file Instances as processes of their own, between stand-ins and links that can be harmed.
#pragma once

#include "Caller.h"

#include <fakes/ObjectStore.h>
#include <fakes/Relay.h>
#include <fakes/SearchServer.h>
#include <filesystem>
#include <sys/types.h>

namespace sapphirewind::test {

/// One instance: its process, its addresses and its link to the store.
struct InstanceProcess
{
  std::string settingsFile;
  std::string callerAddress;
  std::string statusAddress;
  std::unique_ptr<fakes::Relay> storeLink;
  pid_t pid = 0;
};

/// One server with a link in front of it.
struct LinkedServer
{
  std::unique_ptr<fakes::SearchServer> server;
  std::unique_ptr<fakes::Relay> link;
  bool registered = true;
};

class Fleet
{
public:
  struct Options
  {
    std::string program;
    std::filesystem::path folder;
    size_t instances = 3;
    uint64_t seed = 1;
  };

  explicit Fleet(Options aOptions);
  ~Fleet();

  void StartProcess(InstanceProcess& aInstance);
  /// Sends a signal to a running instance.
  void Signal(InstanceProcess& aInstance, int aSignal);
  /// Starts instances again that ended.
  void RestartEnded();
  bool IsReady(const InstanceProcess& aInstance) const;

  void Register(LinkedServer& aServer, const std::string& aState);
  /// Puts a new version of the configuration into the store; odd ones have one route more.
  void Configure();
  /// Ends all harm to links, servers, the store and processes.
  void Heal();

  int RunsOf(const std::string& aId) const;

  static constexpr size_t kShards = 4;
  static constexpr double kLeastCoverage = 0.5;

  fakes::LoopThread loop;
  fakes::ObjectStore store;
  std::vector<InstanceProcess> instances;
  std::vector<LinkedServer> servers;

private:
  InstanceProcess Describe(size_t aNumber);

  Options options;
  uint64_t version = 0;
};

} // namespace sapphirewind::test
