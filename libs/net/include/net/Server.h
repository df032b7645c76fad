/// @file An HTTP server based on cpp-httplib, with one thread for each connection.
#pragma once

#include <base/Result.h>
#include <base/Time.h>
#include <functional>
#include <memory>
#include <net/Message.h>

namespace sapphirewind::net {

struct ServerOptions
{
  /// Port 0 selects any free port.
  Endpoint listen;
  size_t maxBodyBytes = 1 << 20;
  /// The maximum number of open connections. Further ones receive status 503 and are closed.
  size_t maxConnections = 512;
  /// Connections that are idle for longer are closed.
  std::chrono::seconds idleTimeout{ 5 };
};

/// Serves until stopped. Handlers run on the threads of the connections and must be thread-safe.
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;

  explicit Server(ServerOptions aOptions);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Routes requests with a method and a path that matches a regular expression to a handler. Call
  /// before Start.
  void Route(const std::string& aMethod, const std::string& aPathPattern, Handler aHandler);

  /// Sets a callback for each connection that is rejected because of maxConnections.
  void OnConnectionRefused(std::function<void()> aCallback);

  /// Listens and serves in the background. Errors: CannotListen.
  std::error_code Start();

  /// The port that the server is bound to. Precondition: started.
  uint16_t Port() const;

  /// The number of open connections.
  size_t OpenConnections() const;

  /// Stops listening without waiting: new connections are refused, open ones stay open.
  void StopListening();

  /// Stops listening, waits for running handlers and closes idle connections.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::net
