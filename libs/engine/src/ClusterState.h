/// @file The configuration in force and the upstream servers, as followed from the store.
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
    /// How long a watch at the store may wait when the region has no mirrors.
    base::Duration watchWait{ 0 };
    /// How long a watch may wait that is made by a mirror or at a mirror.
    base::Duration mirrorWait{ 0 };
    /// Called once, when requests can be served for the first time.
    std::function<void()> onUsable;
  };

  explicit ClusterState(Options aOptions);
  /// Stops the calls in progress, which keep their followers alive.
  ~ClusterState();

  /// Listens for other instances and starts following the store. Errors: the address cannot be
  /// bound.
  std::error_code Start();

  /// Removes server entries whose grace period is over.
  void RunMaintenance(base::Instant aNow);

  /// Changes how long watches wait, starting with the next one.
  void SetWaits(base::Duration aWatchWait, base::Duration aMirrorWait);

  /// Fills in the fields of the status that come from the store.
  void Describe(InstanceStatus& aStatus, base::Instant aNow) const;

  /// Sends a quarantine update to all other live instances.
  void NotifyPeers(const std::string& aMessage);

  /// The configuration in force; null before the first.
  const std::shared_ptr<const directory::RouteTable>& Routes() const { return this->routes; }

  /// Whether requests can be served: a configuration is in force and servers are known.
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
  void OnInstancesListed(const directory::InstanceTracker& aTracker);
  void UpdateUpstreams();
  StoreConnection::Options ConnectionOptions() const;

  Options options;
  MirrorServer mirror;
  std::shared_ptr<StoreFollower> configurationFollower;
  std::shared_ptr<StoreFollower> serverFollower;
  std::shared_ptr<InstanceRegistration> registration;
  size_t instances = 0;
  /// The other live instances.
  std::vector<directory::InstanceEntry> peers;
  /// The mirrors of this region; empty when every instance follows the store itself.
  std::vector<directory::InstanceEntry> mirrors;
  /// Time of the last failure of each mirror, by address.
  std::map<std::string, base::Instant> mirrorFailures;
  bool wasUsable = false;
  base::Instant startedAt{};
  /// Whether the start-up period with limited connection shares is over.
  bool startupOver = false;
  std::shared_ptr<const directory::RouteTable> routes;
  base::Instant routesSince{};
  directory::ServerTable servers;
};

} // namespace sapphirewind::engine
