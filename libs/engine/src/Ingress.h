/// @file Accepts connections from callers and owns their sessions.
#pragma once

#include "ClusterState.h"

#include <engine/ClientSession.h>
#include <engine/ConnectionAcceptor.h>
#include <engine/LoopMonitor.h>
#include <unordered_set>

namespace sapphirewind::engine {

class Ingress final : public SessionHost
{
public:
  struct Options
  {
    EngineContext& context;
    ClusterState& clusterState;
    const LoopMonitor& loopMonitor;
    Tcp::endpoint endpoint;
    /// Limit on open sessions; further connections wait in the listen backlog.
    size_t maxSessions = 1;
  };

  explicit Ingress(Options aOptions);

  std::error_code Start();

  Tcp::endpoint LocalEndpoint() const { return this->acceptor.LocalEndpoint(); }

  /// Closes each connection after its next response.
  void BeginDraining();

  /// Stops accepting connections and closes those without a request in progress.
  void StopAccepting();

  /// Closes all connections, also those with a request in progress.
  void CloseAll();

  /// Called when the first configuration is received.
  void OnConfiguration();

  size_t Sessions() const { return this->sessions.size(); }

  std::shared_ptr<const directory::RouteTable> Routes() const override;
  bool IsUsable() const override { return this->options.clusterState.IsUsable(); }
  directory::CallerLimits Limits() const override;
  bool IsDraining() const override { return this->draining; }
  base::Instant ReceivedAt(base::Instant aNow) const override
  {
    return this->options.loopMonitor.ReceivedAt(aNow);
  }
  EngineContext& Context() override { return this->options.context; }
  void OnSessionClosed(const std::shared_ptr<ClientSession>& aSession) override;

private:
  void OnConnection(Tcp::socket aSocket);

  Options options;
  ConnectionAcceptor acceptor;
  std::unordered_set<std::shared_ptr<ClientSession>> sessions;
  bool draining = false;
};

} // namespace sapphirewind::engine
