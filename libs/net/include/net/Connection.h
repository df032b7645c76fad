/// @file An HTTP connection to one endpoint, and a pool with a bounded number of idle connections.
/// Neither retries a request.
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
  /// Keeps the connection open between requests.
  bool keepAlive = true;
};

/// A connection that is opened by the first Send. Only one Send may run at a time; Abort may be
/// called from any thread.
class Connection
{
public:
  Connection(Endpoint aEndpoint, ConnectionOptions aOptions);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends a request once and waits for the complete response.
  /// Errors: ConnectFailed (nothing was sent), Withheld (not run), ConnectionLost, TimedOut,
  /// Aborted.
  base::Result<Response> Send(const Request& aRequest, base::Duration aTimeout);

  /// Aborts the running request and closes the connection.
  void Abort();

  /// Whether the connection can be used for another request.
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
  /// Connections that are idle for longer are closed. Must be shorter than the idle timeout of the
  /// server, which could otherwise close a connection while a request is being sent on it.
  base::Duration maxIdleTime = std::chrono::seconds(3);
  size_t maxIdleConnections = 64;
};

/// A pool of idle connections to one endpoint. Thread-safe.
class ConnectionPool
{
public:
  ConnectionPool(Endpoint aEndpoint, PoolOptions aOptions);

  /// Returns an idle connection, or a new one if there is none or aNewConnection is set.
  std::unique_ptr<Connection> Acquire(base::Instant aNow, bool aNewConnection = false);

  /// Returns a connection to the pool, or closes it if it is not reusable or the pool is full.
  void Release(std::unique_ptr<Connection> aConnection, base::Instant aNow);

  /// Closes connections that have been idle for maxIdleTime or longer.
  void CloseIdle(base::Instant aNow);

  /// Sends one request on a connection of the pool.
  base::Result<Response> Exchange(const Request& aRequest,
                                  base::Duration aTimeout,
                                  bool aNewConnection = false);

  const Endpoint& Target() const { return this->endpoint; }

private:
  const Endpoint endpoint;
  const PoolOptions options;
  std::mutex mutex;
  std::vector<std::unique_ptr<Connection>> idle;
};

} // namespace sapphirewind::net
