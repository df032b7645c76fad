/// @file The configuration, catalogue and membership that requests are served under, as one
/// immutable value.
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

/// A service with its servers by group and the assignment of its groups to instances of this
/// region.
struct ServiceState
{
  model::ServiceIndex index;
  std::map<std::string, std::vector<model::ServerRecord>> serversByGroup;
  routing::Assignment assignment;
};

/// Replaced as a whole on every change, so that a request sees one state from start to end.
struct ServingState
{
  config::Configuration configuration;
  /// The version of the configuration object; 0 while there is none.
  uint64_t generation = 0;
  std::map<std::string, ServiceState> services;
  std::vector<model::InstanceRecord> listedInstances;
  /// Addresses of known instances by name.
  std::map<std::string, std::string> instanceAddresses;
  /// Instances that take new work in this region.
  std::vector<std::string> servingInstances;

  const ServiceState* FindService(const std::string& aName) const;

  /// Whether requests can be served.
  bool IsReady() const { return this->generation > 0 && !this->services.empty(); }
};

using ServingStatePointer = std::shared_ptr<const ServingState>;

/// Holds the current serving state. Thread-safe.
class ServingStateHolder
{
public:
  ServingStateHolder();

  ServingStatePointer Get() const;
  void Set(ServingStatePointer aState);

private:
  mutable std::mutex mutex;
  ServingStatePointer servingState;
};

} // namespace sapphirewind::tier
