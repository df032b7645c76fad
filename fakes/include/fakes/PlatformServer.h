/// @file The platform stand-in behind HTTP, with a control interface for faults.
#pragma once

#include <fakes/InMemoryStore.h>
#include <net/Server.h>

namespace sapphirewind::fakes {

/// Serves /v1/objects and /v1/watch for the tier, /control for the one who sets the scene.
class PlatformServer
{
public:
  explicit PlatformServer(net::Endpoint aListen);

  std::error_code Start();
  uint16_t Port() const { return this->server.Port(); }
  InMemoryStore& Store() { return this->core; }

private:
  InMemoryStore core;
  net::Server server;
};

} // namespace sapphirewind::fakes
