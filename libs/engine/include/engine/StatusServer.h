/// @file Serves /ready to the balancer and /metrics to whoever watches the instance.
#pragma once

#include <engine/Metrics.h>
#include <engine/Asio.h>
#include <functional>

namespace sapphirewind::engine {

class StatusServer
{
public:
  struct Options
  {
    Loop& loop;
    Tcp::endpoint endpoint;
    std::function<bool()> isReady;
    const Metrics& metrics;
  };

  explicit StatusServer(Options aOptions);

  /// Listens. Errors: the address cannot be used.
  std::error_code Start();

  Tcp::endpoint LocalEndpoint() const { return this->acceptor.local_endpoint(); }

  void Stop();

private:
  void Accept();

  Options options;
  Tcp::acceptor acceptor;
};

} // namespace sapphirewind::engine
