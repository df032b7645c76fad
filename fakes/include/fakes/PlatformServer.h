/// @file The fake platform served over HTTP, with a control interface for fault injection.
#pragma once

#include <fakes/InMemoryStore.h>
#include <net/Server.h>

namespace sapphirewind::fakes {

/// Serves /v1/objects and /v1/watch to instances, and /control to tests.
class PlatformServer
{
public:
  explicit PlatformServer(net::Endpoint aListen);

  std::error_code Start();
  uint16_t Port() const { return this->server.Port(); }
  InMemoryStore& Store() { return this->store; }

private:
  InMemoryStore store;
  net::Server server;
};

} // namespace sapphirewind::fakes
