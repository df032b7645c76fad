/// @file Many fake upstreams in one process, with the records that the platform lists for them.
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
  /// The first server's port; further servers use the following ports. 0 picks free ports.
  uint16_t firstPort = 0;
  int64_t serial = 1;
  bool recordRequests = true;
};

/// Starts servers and provides their platform records. Thread-safe once started.
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions);

  std::error_code Start();

  const FleetOptions& Options() const { return this->options; }
  std::vector<Upstream*> Servers();
  /// Servers whose full name matches a regular expression.
  std::vector<Upstream*> Matching(const std::string& aPattern);
  std::vector<model::ServerRecord> Records(const std::string& aService);
  model::ServiceIndex Index(const std::string& aService,
                            const std::vector<int64_t>& aSerials) const;
  /// The sum of all servers' records; for peakConnections, the maximum.
  UpstreamRecord Total();

private:
  struct Entry
  {
    std::unique_ptr<Upstream> server;
    model::ServerRecord record;
  };

  const FleetOptions options;
  std::vector<Entry> entries;
};

/// Returns the current behaviour with the fields named in the JSON object replaced.
UpstreamBehaviour
BehaviourFromJson(const Json::Value& aValue, UpstreamBehaviour aCurrent);

/// Serves the HTTP control interface of a fleet under /control.
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
