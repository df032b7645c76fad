/// @file A minimal HTTP server for an instance's own endpoints: the load balancer's readiness
/// check, the metrics, and the endpoint for other instances.
#pragma once

#include <engine/ConnectionAcceptor.h>
#include <functional>

namespace sapphirewind::engine {

class HttpServer
{
public:
  using Respond = std::function<void(HttpResponse&&)>;
  /// Answers a request exactly once, during the call or later.
  using Handler = std::function<void(const HttpRequest&, Respond)>;

  struct Options
  {
    Loop& loop;
    Tcp::endpoint endpoint;
    Handler handler;
  };

  explicit HttpServer(Options aOptions);

  /// Starts listening. Errors: the address cannot be bound.
  std::error_code Start();

  Tcp::endpoint LocalEndpoint() const { return this->acceptor.LocalEndpoint(); }

private:
  Options options;
  ConnectionAcceptor acceptor;
};

} // namespace sapphirewind::engine
