/// @file Accepts callers and keeps their sessions.
#pragma once

#include "ClusterState.h"

#include <engine/ClientSession.h>
#include <unordered_set>

namespace sapphirewind::engine {

class Ingress final : public SessionHost
{
public:
  struct Options
  {
    EngineContext& context;
    ClusterState& clusterState;
    Tcp::endpoint endpoint;
    /// Callers that are held at a time; further ones wait in the listening queue.
    size_t maxSessions = 1;
  };

  explicit Ingress(Options aOptions);

  std::error_code Start();

  Tcp::endpoint LocalEndpoint() const { return this->acceptor.local_endpoint(); }

  /// From here on each connection is closed after its next answer.
  void BeginDraining();

  /// Accepts nobody any more and closes connections without a request.
  void StopAccepting();

  /// The first configuration is in force.
  void OnConfiguration();

  size_t Sessions() const { return this->sessions.size(); }

  std::shared_ptr<const directory::RouteTable> Routes() const override;
  bool IsUsable() const override { return this->options.clusterState.IsUsable(); }
  directory::CallerLimits Limits() const override;
  bool IsDraining() const override { return this->draining; }
  EngineContext& Context() override { return this->options.context; }
  void OnSessionClosed(const std::shared_ptr<ClientSession>& aSession) override;

private:
  void Accept();

  Options options;
  Tcp::acceptor acceptor;
  std::unordered_set<std::shared_ptr<ClientSession>> sessions;
  bool draining = false;
  bool accepting = false;
};

} // namespace sapphirewind::engine
