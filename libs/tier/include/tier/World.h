/// @file Everything an instance goes by at a moment, as one immutable value.
#pragma once

#include <config/Configuration.h>
#include <map>
#include <memory>
#include <model/Catalog.h>
#include <mutex>
#include <routing/Assignment.h>
#include <string>
#include <vector>

namespace sapphirewind::tier {

/// A service with its servers by group and the routes of its groups in this region.
struct ServiceWorld
{
  model::ServiceIndex index;
  std::map<std::string, std::vector<model::ServerRecord>> serversByGroup;
  routing::Assignment assignment;
};

/// Replaced whole on every change, so that a request sees one state from start to end.
struct World
{
  config::Configuration configuration;
  /// The version of the configuration object; 0 while there is none.
  uint64_t generation = 0;
  std::map<std::string, ServiceWorld> services;
  std::vector<model::InstanceRecord> listedInstances;
  /// Addresses of known instances by name.
  std::map<std::string, std::string> addresses;
  /// Instances that take new work in this region.
  std::vector<std::string> serving;

  const ServiceWorld* FindService(const std::string& aName) const;

  /// Whether requests can be served.
  bool IsReady() const { return this->generation > 0 && !this->services.empty(); }
};

using WorldPointer = std::shared_ptr<const World>;

/// Holds the current world. Thread-safe.
class WorldHolder
{
public:
  WorldHolder();

  WorldPointer Get() const;
  void Set(WorldPointer aWorld);

private:
  mutable std::mutex mutex;
  WorldPointer world;
};

} // namespace sapphirewind::tier
