/// @file What an instance believes: the configuration in force and the upstreams that exist.
#pragma once

#include <directory/ServerTable.h>
#include <engine/ServiceCall.h>
#include <engine/StoreFollower.h>

#include "InstanceRegistration.h"
#include "MirrorServer.h"

namespace sapphirewind::engine {

class ClusterState
{
public:
  struct Options
  {
    EngineContext& context;
    StoreCodec codec;
    std::string storeAddress;
    std::string instance;
    std::string region;
    Tcp::endpoint peerEndpoint;
    /// How long a watch at the store may wait when nobody follows this instance.
    base::Duration watchWait{ 0 };
    /// How long one may wait whose news others depend on, or that depends on another's.
    base::Duration mirrorWait{ 0 };
    /// Called once requests can be served for the first time.
    std::function<void()> onUsable;
  };

  explicit ClusterState(Options aOptions);
  /// Ends the calls under way, which keep their followers alive.
  ~ClusterState();

  /// Listens for other instances and starts following. Errors: the address cannot be used.
  std::error_code Start();

  /// Gives up entries whose grace is over.
  void RunMaintenance(base::Instant aNow);

  /// Changes how long watches wait, from the next one on.
  void SetWaits(base::Duration aWatchWait, base::Duration aMirrorWait);

  /// Fills in what it knows of what the instance believes.
  void Describe(InstanceStatus& aStatus, base::Instant aNow) const;

  /// Passes a message of the crash guard on to all live instances.
  void NotifyPeers(const std::string& aMessage);

  /// The configuration in force; null before the first.
  const std::shared_ptr<const directory::RouteTable>& Routes() const { return this->routes; }

  /// Whether requests can be served: there is a configuration, and servers are known.
  bool IsUsable() const;

private:
  std::shared_ptr<StoreFollower> MakeFollower(StoreKind aKind);
  void OnConfigurations(const std::vector<StoredObject>& aObjects);
  void OnServerList(const std::vector<StoredObject>& aObjects, uint64_t aRevision);
  void OnServerChanges(const std::vector<StoredObject>& aObjects);
  void OnLost(StoreKind aKind, const char* aCause);
  void OnRecovered(StoreKind aKind);
  void OnPageBody(StoreKind aKind, const std::string& aAfter, std::shared_ptr<const std::string>);
  void OnChangesBody(StoreKind aKind, uint64_t, MirroredUpdate, std::shared_ptr<const std::string>);
  StoreFollower& Follower(StoreKind aKind) const;
  StoreSource ChooseSource() const;
  void OnMirrorFailed(const StoreSource& aSource);
  void OnInstancesListed(const directory::Census& aTracker);
  void UpdateUpstreams();
  StoreConnection::Options ConnectionOptions() const;

  Options options;
  MirrorServer mirror;
  std::shared_ptr<StoreFollower> configurationFollower;
  std::shared_ptr<StoreFollower> serverFollower;
  std::shared_ptr<InstanceRegistration> registration;
  size_t instances = 0;
  /// The live instances but this one.
  std::vector<directory::InstanceEntry> peers;
  /// The instances of this region that mirror the store; empty when each follows it itself.
  std::vector<directory::InstanceEntry> mirrors;
  /// When a mirror last failed, by address.
  std::map<std::string, base::Instant> mirrorFailures;
  bool wasUsable = false;
  base::Instant startedAt{};
  /// The time of care after the start is over.
  bool startupOver = false;
  std::shared_ptr<const directory::RouteTable> routes;
  base::Instant routesSince{};
  directory::ServerTable servers;
};

} // namespace sapphirewind::engine
