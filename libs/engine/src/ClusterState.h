/// @file The configuration in force and the upstream servers, as followed from the store.
#pragma once

#include <directory/ServerTable.h>
#include <engine/ServiceCall.h>
#include <engine/StoreFollower.h>

#include "EraObserver.h"
#include "InstanceRegistration.h"
#include "MirrorServer.h"
#include "QuarantineExchange.h"

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
    /// The store's list of instances is incomplete for a while, as all of them start now.
    bool firstStart = false;
    /// How long a watch at the store may wait when the region has no mirrors.
    base::Duration watchWait{ 0 };
    /// How long a draining server may still receive requests; bounds the age of relayed updates.
    base::Duration drain{ 0 };
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
  void SetWaits(base::Duration aWatchWait, base::Duration aDrain);

  /// Fills in the fields of the status that come from the store.
  void Describe(InstanceStatus& aStatus, base::Instant aNow) const;

  /// Sends a quarantine update to all other live instances.
  void NotifyPeers(const std::string& aMessage) { this->quarantine.NotifyPeers(aMessage); }

  /// The configuration in force; null before the first.
  const std::shared_ptr<const directory::RouteTable>& Routes() const { return this->routes; }

  /// Whether requests can be served: a configuration is in force, servers are known, and so is what
  /// other instances hold in quarantine.
  bool IsUsable() const;

private:
  std::shared_ptr<StoreFollower> MakeFollower(StoreKind aKind);
  void OnConfigurations(std::vector<StoredObject>&& aObjects);
  void PutInForce(StoredObject&& aObject);
  void OnServerList(const std::vector<StoredObject>& aObjects,
                    const directory::StorePosition& aPosition);
  /// Logs what became of the servers in the first list of an era.
  void LogReturn(base::Instant aNow);
  /// Reads all again: the store has returned from an older copy.
  void OnNewEra();
  void OnServerChanges(const std::vector<StoredObject>& aObjects);
  /// Logs that a server whose entry was removed stays in the table for now, if it does.
  void LogKeptEntry(const std::string& aId, base::Instant aNow) const;
  void OnLost(StoreKind aKind, const char* aCause);
  void OnRecovered(StoreKind aKind);
  void OnChangesBody(StoreKind aKind,
                     const directory::StorePosition& aTo,
                     MirroredUpdate aUpdate,
                     std::shared_ptr<const RelayedBody> aBody,
                     base::Instant aAnsweredAt);
  StoreFollower& Follower(StoreKind aKind) const;
  base::Duration MirrorWait() const;
  directory::SourceState& SourcesOf(StoreKind aKind);
  std::optional<StoreSource> ChooseSource(StoreKind aKind, SourceUse aUse);
  StoreSource StoreAsSource() const;
  void OnSourceFailed(StoreKind aKind,
                      const StoreSource& aSource,
                      directory::MirrorFailure aFailure);
  void OnSourceAnswered(StoreKind aKind, const StoreSource& aSource);
  void UpdatePlan(const directory::InstanceTracker& aTracker, base::Instant aNow);
  void OnInstancesListed(const directory::InstanceTracker& aTracker);
  void UpdateUpstreams();
  bool HasRoutesAndServers() const;
  /// Reports once that requests can be served, or limits how long only the quarantine is awaited.
  void CheckUsable();
  StoreConnection::Options ConnectionOptions() const;

  Options options;
  EraObserver eras;
  MirrorServer mirror;
  std::shared_ptr<StoreFollower> configurationFollower;
  std::shared_ptr<StoreFollower> serverFollower;
  std::shared_ptr<InstanceRegistration> registration;
  size_t instances = 0;
  QuarantineExchange quarantine;
  /// Since when only the quarantine is not known; empty before.
  std::optional<base::Instant> awaitsQuarantineSince;
  directory::SourceState configurationSources;
  directory::SourceState serverSources;
  /// Whether the list of instances was read late enough to plan by it.
  bool planKnown = false;
  bool wasUsable = false;
  base::Instant startedAt{};
  /// Whether the start-up period with limited connection shares is over.
  bool startupOver = false;
  std::shared_ptr<const directory::RouteTable> routes;
  base::Instant routesSince{};
  directory::ServerTable servers;
};

/// Logs an object of the store that can't be used.
void
LogMalformed(const StoredObject& aObject);

} // namespace sapphirewind::engine
