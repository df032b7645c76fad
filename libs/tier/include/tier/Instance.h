/// @file One running instance: everything wired together behind its HTTP addresses.
#pragma once

#include <base/Result.h>
#include <config/Settings.h>
#include <memory>
#include <string>
#include <system_error>

namespace sapphirewind::tier {

/// Starts on construction's Start, stops gracefully on Stop.
class Instance
{
public:
  explicit Instance(config::Settings aSettings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Listens and begins to follow the platform and peers. Errors: net::Errc::CannotListen.
  std::error_code Start();

  /// Says not ready, serves on while the balancer lags, hands ownership on, finishes what is in
  /// flight, then ends. Returns false when work was still in flight at the time limit.
  bool Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::tier
