/// @file What an instance believes: the configuration in force and the upstreams that exist.
#pragma once

#include <directory/ServerTable.h>
#include <engine/ServiceCall.h>
#include <engine/StoreFollower.h>

#include "Registry.h"

namespace sapphirewind::engine {

class World
{
public:
  struct Options
  {
    EngineContext& context;
    StoreCodec codec;
    std::string storeAddress;
    std::string instance;
    /// How long a watch may wait for a change.
    base::Duration watchWait{ 0 };
    /// Called once requests can be served for the first time.
    std::function<void()> onUsable;
  };

  explicit World(Options aOptions);

  void Start();

  /// Gives up entries whose grace is over.
  void KeepHouse(base::Instant aNow);

  /// The configuration in force; null before the first.
  const std::shared_ptr<const directory::RouteTable>& Routes() const { return this->routes; }

  /// Whether requests can be served: there is a configuration, and servers are known.
  bool IsUsable() const;

private:
  std::shared_ptr<StoreFollower> MakeFollower(StoreKind aKind);
  void OnConfigurations(const std::vector<StoredObject>& aObjects);
  void OnServerList(const std::vector<StoredObject>& aObjects, uint64_t aRevision);
  void OnServerChanges(const std::vector<StoredObject>& aObjects);
  void OnInstancesCounted(size_t aInstances);
  void UpdateFleet();
  StoreConnection::Options ConnectionOptions() const;

  Options options;
  std::shared_ptr<StoreFollower> configurationFollower;
  std::shared_ptr<StoreFollower> serverFollower;
  std::shared_ptr<Registry> registry;
  size_t instances = 0;
  bool wasUsable = false;
  std::shared_ptr<const directory::RouteTable> routes;
  directory::ServerTable servers;
};

} // namespace sapphirewind::engine
