/// @file One upstream server: its connections and what was learnt of it.
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
          std::shared_ptr<dispatch::ServiceTimeEstimate> aWork,
          uint64_t aNumber,
          OnEnd aOnEnd);

  /// Closes the connection, so that the server drops the request. OnEnd is not called any more.
  void Cancel();

  /// Nobody waits for the answer, but it may still come and teach; after aGrace it is cancelled.
  void Detach(base::Duration aGrace);

  const UpstreamServer& Server() const { return *this->server; }

private:
  friend class UpstreamServer;
  void End(ExchangeResult&& aResult);
  void Learn(const ExchangeResult& aResult);

  std::shared_ptr<UpstreamServer> server;
  std::shared_ptr<dispatch::ServiceTimeEstimate> work;
  uint64_t number;
  OnEnd onEnd;
  std::shared_ptr<UpstreamConnection> connection;
  std::unique_ptr<Timer> graceTimer;
  base::Instant startedAt{};
  bool ended = false;
};

/// The connections to one start of an upstream server.
class UpstreamServer : public std::enable_shared_from_this<UpstreamServer>
{
public:
  struct Options
  {
    Loop& loop;
    const WireCodec& codec;
    directory::Server server;
    Tcp::endpoint endpoint;
    /// Until a connection was made and timed.
    base::Duration assumedRoundTrip{ 0 };
  };

  explicit UpstreamServer(Options aOptions);

  const directory::Server& Description() const { return this->options.server; }
  dispatch::Upstream& State() { return this->state; }
  const dispatch::Upstream& State() const { return this->state; }

  /// What may be sent on: a kept connection, or only a new one, for a request that cannot be
  /// repeated. A connection that was just made proves that the server is there, while a kept one
  /// may have fallen silent or be about to be closed.
  enum class Reuse
  {
    KeptConnection,
    NewConnection
  };

  /// Sends a request. The end is told later, never from within the call.
  std::shared_ptr<Attempt> Send(std::shared_ptr<HttpRequest> aRequest,
                                const std::string& aRequestId,
                                std::shared_ptr<dispatch::ServiceTimeEstimate> aWork,
                                Reuse aReuse,
                                Attempt::OnEnd aOnEnd);

  /// Finds out whether nothing listens at the server's address any more. A server that cannot be
  /// reached at all is not told from one behind a cut and does not count as gone.
  void Probe(std::function<void(bool aIsGone)> aOnResult);

  /// Sends nothing here any more and closes idle connections.
  void Retire();

  /// The same because its entry says that it drains; it may say that it is ready again.
  void Drain();
  bool IsDrained() const { return this->drained; }

  /// Bounds the connections of this instance.
  void SetShare(const dispatch::ConnectionShare& aShare);

  /// Closes connections that the server may be about to close, and those beyond the share that is
  /// kept unused.
  void CloseExpired(base::Instant aNow);

private:
  friend class Attempt;
  std::shared_ptr<UpstreamConnection> TakeConnection(Reuse aReuse, base::Instant aNow);
  std::shared_ptr<UpstreamConnection> OpenConnection();
  void NoteRoundTrip(base::Duration aMeasured);

  Options options;
  dispatch::Upstream state;
  std::vector<std::shared_ptr<UpstreamConnection>> idle;
  unsigned keptIdle = 1;
  uint64_t nextNumber = 1;
  bool drained = false;
  bool roundTripKnown = false;
};

} // namespace sapphirewind::engine
