/// @file An HTTP server over cpp-httplib, one thread a connection, started on demand.
#pragma once

#include <base/Result.h>
#include <base/Time.h>
#include <functional>
#include <memory>
#include <net/Message.h>

namespace sapphirewind::net {

struct ServerOptions
{
  /// Port 0 takes any free one.
  Endpoint listen;
  size_t maxBodyBytes = 1 << 20;
  /// Connections served at a time. The ones above it get 503 and are closed.
  size_t maxConnections = 512;
  /// An idle connection is closed after this long.
  std::chrono::seconds idleTimeout{ 5 };
};

/// Serves until stopped. Handlers run on the connections' own threads and must be thread-safe.
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;

  explicit Server(ServerOptions aOptions);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Routes a method and a path, a regular expression, to a handler. Call before Start.
  void Route(const std::string& aMethod, const std::string& aPathPattern, Handler aHandler);

  /// Called with each connection refused for being above the limit.
  void OnConnectionRefused(std::function<void()> aCallback);

  /// Listens and serves in the background. Errors: CannotListen.
  std::error_code Start();

  /// The port taken. Precondition: started.
  uint16_t Port() const;

  /// Connections open at this moment.
  size_t OpenConnections() const;

  /// Stops listening without waiting: new connections are refused, open ones live on.
  void StopListening();

  /// Stops listening, lets handlers that run finish, closes idle connections.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::net
