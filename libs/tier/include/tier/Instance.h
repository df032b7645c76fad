/// @file One running instance: its components and its HTTP server.
#pragma once

#include <base/Result.h>
#include <config/Settings.h>
#include <memory>
#include <string>
#include <system_error>

namespace sapphirewind::tier {

/// Start begins to serve; Stop drains and shuts down.
class Instance
{
public:
  explicit Instance(config::Settings aSettings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Listens and starts to follow the platform and to gossip with peers. Errors:
  /// net::Errc::CannotListen.
  std::error_code Start();

  /// Reports not ready, keeps serving for the balancer's lag, hands its groups over to peers, then
  /// waits for requests in flight. Returns false when some were still in flight at the time limit.
  bool Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::tier
