/// @file Many stand-in upstreams in one process, with what the platform lists of them.
#pragma once

#include <fakes/Upstream.h>
#include <memory>
#include <string>
#include <vector>

namespace sapphirewind::fakes {

struct FleetOptions
{
  std::vector<ServicePlan> services;
  ServiceTime time;
  base::Duration connectionCost = std::chrono::milliseconds(6);
  /// The first port; servers take the following ones in order. 0 takes any free ones.
  uint16_t firstPort = 0;
  int64_t serial = 1;
  bool recordRequests = true;
};

/// Starts servers and describes them. Thread-safe once started.
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions);

  std::error_code Start();

  const FleetOptions& Options() const { return this->options; }
  std::vector<Upstream*> Servers();
  /// Servers whose name matches a regular expression.
  std::vector<Upstream*> Matching(const std::string& aPattern);
  std::vector<model::ServerRecord> Records(const std::string& aService);
  model::ServiceIndex Index(const std::string& aService,
                            const std::vector<int64_t>& aSerials) const;
  /// The sum of all records.
  UpstreamRecord Total();

private:
  struct Placed
  {
    std::unique_ptr<Upstream> server;
    model::ServerRecord record;
  };

  const FleetOptions options;
  std::vector<Placed> placed;
};

/// Reads a behaviour's change over another: only the members named are changed.
UpstreamBehaviour
BehaviourFromJson(const Json::Value& aValue, UpstreamBehaviour aBefore);

/// Serves /control for a fleet.
class FleetControl
{
public:
  FleetControl(Fleet& aFleet, net::Endpoint aListen);

  std::error_code Start();
  uint16_t Port() const { return this->server.Port(); }

private:
  Fleet& fleet;
  net::Server server;
};

} // namespace sapphirewind::fakes
