/// @file A running instance: it follows the platform's store, serves callers, and stops gracefully.
#pragma once

#include <engine/Settings.h>
#include <engine/Wire.h>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>

namespace sapphirewind::engine {

class Instance
{
public:
  struct Options
  {
    Settings settings;
    WireCodec wire;
    StoreCodec store;
    /// The settings as they stand now if they changed since the last call and are valid. Asked at
    /// SIGHUP and every few seconds, as the file may also change without a signal. May be empty.
    std::function<std::optional<Settings>()> readChangedSettings;
  };

  explicit Instance(Options aOptions);
  ~Instance();

  /// Listens and starts following the store. Errors: an address cannot be used.
  std::error_code Start();

  /// Where callers and the balancer connect, once started; port 0 in the settings takes a free one.
  std::string CallerAddress() const;
  std::string StatusAddress() const;
  std::string MetricsAddress() const;

  /// Serves until it was asked to stop and has stopped. Precondition: Start succeeded.
  void Run();

  /// Begins a graceful stop, as SIGTERM does. May be called from any thread.
  void Stop();

  /// Makes Run return at once, whatever is under way. May be called from any thread.
  void Abort();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::engine
