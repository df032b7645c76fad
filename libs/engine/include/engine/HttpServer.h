/// @file A small HTTP server for an instance's own pages: the balancer's question, the metrics, and
/// what it passes on to other instances.
#pragma once

#include <engine/Asio.h>
#include <functional>

namespace sapphirewind::engine {

class HttpServer
{
public:
  using Respond = std::function<void(HttpResponse&&)>;
  /// Answers a request now or later, once.
  using Handler = std::function<void(const HttpRequest&, Respond)>;

  struct Options
  {
    Loop& loop;
    Tcp::endpoint endpoint;
    Handler handler;
  };

  explicit HttpServer(Options aOptions);

  /// Listens. Errors: the address cannot be used.
  std::error_code Start();

  Tcp::endpoint LocalEndpoint() const { return this->acceptor.local_endpoint(); }

private:
  void Accept();

  Options options;
  Tcp::acceptor acceptor;
};

} // namespace sapphirewind::engine
