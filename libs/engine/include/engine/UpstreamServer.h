/// @file One upstream server: its connections, and the latency and health recorded for it.
#pragma once

#include <directory/ServerTable.h>
#include <dispatch/ConnectionShare.h>
#include <dispatch/Upstream.h>
#include <engine/UpstreamConnection.h>
#include <memory>
#include <vector>

namespace sapphirewind::engine {

class UpstreamServer;

/// One request at one upstream server.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
  using OnEnd = std::function<void(ExchangeResult&&)>;

  Attempt(std::shared_ptr<UpstreamServer> aServer,
          std::shared_ptr<dispatch::ServiceTimeEstimate> aServiceTime,
          uint64_t aNumber,
          OnEnd aOnEnd);

  /// Closes the connection, so that the server can abort the request. OnEnd is not called.
  void Cancel();

  /// Replaces the callback, which may be empty, and leaves the attempt open, so that its outcome is
  /// still recorded; cancels it after aGrace.
  void Detach(base::Duration aGrace, OnEnd aOnEnd);

  const std::shared_ptr<UpstreamServer>& Server() const { return this->server; }

private:
  friend class UpstreamServer;
  void End(ExchangeResult&& aResult);
  void RecordOutcome(const ExchangeResult& aResult);
  void RecordLoad(const ExchangeResult& aResult, base::Instant aNow);
  void RecordRate(const ExchangeResult& aResult, base::Instant aNow);
  /// Records what the server said of itself.
  void RecordStatement(const ExchangeResult& aResult, base::Instant aNow);

  std::shared_ptr<UpstreamServer> server;
  std::shared_ptr<dispatch::ServiceTimeEstimate> serviceTime;
  uint64_t number;
  OnEnd onEnd;
  std::shared_ptr<UpstreamConnection> connection;
  std::unique_ptr<Timer> graceTimer;
  base::Instant startedAt{};
  bool ended = false;
};

/// An upstream server between one start of its process and the next: state and connections.
class UpstreamServer : public std::enable_shared_from_this<UpstreamServer>
{
public:
  struct Options
  {
    Loop& loop;
    const WireCodec& codec;
    directory::Server server;
    Tcp::endpoint endpoint;
    /// Round-trip time used until one is measured.
    base::Duration assumedRoundTrip{ 0 };
    /// The server is in another region than this instance.
    bool isRemote = false;
    /// The bytes that all connections of the instance hold for responses in progress.
    std::shared_ptr<uint64_t> bufferedBytes = std::make_shared<uint64_t>(0);
    /// What servers said of themselves, which outlives their entries.
    std::shared_ptr<dispatch::ServerStatements> serverStatements =
      std::make_shared<dispatch::ServerStatements>();
  };

  explicit UpstreamServer(Options aOptions);

  const directory::Server& Description() const { return this->options.server; }
  dispatch::Upstream& State() { return this->state; }
  const dispatch::Upstream& State() const { return this->state; }

  /// Which connection a request may use. A request that must not be executed twice requires a new
  /// one: a completed connect shows that the server is reachable, while an idle connection may be
  /// dead or about to be closed.
  enum class ConnectionPolicy
  {
    ReuseIdle,
    RequireNew
  };

  /// Sends a request, with this server as its target. aOnEnd is called later, never from within
  /// this call.
  std::shared_ptr<Attempt> Send(UpstreamRequest aRequest,
                                std::shared_ptr<dispatch::ServiceTimeEstimate> aServiceTime,
                                ConnectionPolicy aPolicy,
                                Attempt::OnEnd aOnEnd);

  /// Brings the state up to date for a decision: issues permits, and takes over what the server
  /// said of itself to an earlier object for the same start.
  void Refresh(base::Instant aNow);

  /// Reports whether the server's address refuses connections, i.e. its process is not running. A
  /// connect that times out or fails otherwise does not count, as it may be a network partition. If
  /// one succeeds, it tries once more shortly after: a process that ends closes its sockets one
  /// after the other.
  void Probe(std::function<void(bool aConnectionRefused)> aOnResult);

  /// Excludes the server from new attempts and closes its idle connections.
  void Retire();

  /// Retires the server because its stored entry says that it is draining. Unlike after Retire, a
  /// later entry may put it back in service.
  void Drain();
  bool IsDrained() const { return this->drained; }

  /// Limits what this instance uses of the server: its connections, and its part of a request rate
  /// that the server names.
  void SetShare(const dispatch::ConnectionShare& aConnections,
                const dispatch::InstanceArc& aPermitArc,
                base::Instant aNow);

  /// Closes idle connections near the server's keep-alive timeout and those beyond the limit on
  /// idle connections.
  void CloseExpired(base::Instant aNow);

private:
  friend class Attempt;
  void ProbeOnce(std::function<void(ErrorCode)> aOnResult);
  std::shared_ptr<UpstreamConnection> AcquireConnection(ConnectionPolicy aPolicy,
                                                        base::Instant aNow);
  std::shared_ptr<UpstreamConnection> OpenConnection();
  void RecordRoundTrip(base::Duration aMeasured);
  void OnLeaving(base::Instant aNow);
  void OnHeld(base::Duration aFor, base::Instant aNow);
  void CloseIdle(const char* aCause);

  Options options;
  dispatch::Upstream state;
  std::vector<std::shared_ptr<UpstreamConnection>> idle;
  unsigned maxIdleConnections = 1;
  uint64_t nextNumber = 1;
  bool drained = false;
  bool roundTripKnown = false;
};

} // namespace sapphirewind::engine
