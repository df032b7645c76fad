/// @file One HTTP connection to one endpoint, and a bounded pool of them. Nothing here sends a
/// request twice.
#pragma once

#include <atomic>
#include <base/Result.h>
#include <base/Time.h>
#include <memory>
#include <mutex>
#include <net/Message.h>
#include <vector>

namespace sapphirewind::net {

struct ConnectionOptions
{
  base::Duration connectTimeout = std::chrono::milliseconds(500);
  /// Keeps the connection open between exchanges.
  bool keepAlive = true;
};

/// A connection opened at the first exchange. Exchanges go one at a time; Abort from any thread.
class Connection
{
public:
  Connection(Endpoint aEndpoint, ConnectionOptions aOptions);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends a request once and waits for the whole answer.
  /// Errors: ConnectFailed (nothing left), Broken, TimedOut, Aborted.
  base::Result<Response> Send(const Request& aRequest, base::Duration aTimeout);

  /// Gives the exchange that runs up and closes the connection.
  void Abort();

  /// Whether the last exchange left the connection fit for another.
  bool IsReusable() const;

  base::Instant LastUsed() const { return this->lastUsed; }

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
  std::atomic<bool> aborted{ false };
  bool reusable = false;
  base::Instant lastUsed{};
};

struct PoolOptions
{
  ConnectionOptions connection;
  /// Idle connections older than this are closed, so that the other side's own idle timeout is not
  /// met by a request on its way.
  base::Duration maxIdleTime = std::chrono::seconds(3);
  size_t maxIdleConnections = 64;
};

/// Idle connections to one endpoint. Thread-safe.
class ConnectionPool
{
public:
  ConnectionPool(Endpoint aEndpoint, PoolOptions aOptions);

  /// An idle connection, or a new one. aFresh asks for one that has carried nothing yet.
  std::unique_ptr<Connection> Acquire(base::Instant aNow, bool aFresh = false);

  /// Returns a connection; kept only if it can be used again.
  void Release(std::unique_ptr<Connection> aConnection, base::Instant aNow);

  /// Closes idle connections that are too old.
  void CloseIdle(base::Instant aNow);

  /// One exchange on a connection of the pool.
  base::Result<Response> Exchange(const Request& aRequest,
                                  base::Duration aTimeout,
                                  bool aFresh = false);

  const Endpoint& Target() const { return this->endpoint; }

private:
  const Endpoint endpoint;
  const PoolOptions options;
  std::mutex mutex;
  std::vector<std::unique_ptr<Connection>> idle;
};

} // namespace sapphirewind::net
