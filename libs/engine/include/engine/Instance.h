/// @file A running instance: follows the platform's store, serves callers, and shuts down
/// gracefully.
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
    /// Returns the current settings if they are valid and changed since the last call. Called on
    /// SIGHUP and every few seconds, as the file may also change without a signal. May be empty.
    std::function<std::optional<Settings>()> readChangedSettings;
  };

  explicit Instance(Options aOptions);
  ~Instance();

  /// Starts listening and following the store. Errors: an address cannot be bound.
  std::error_code Start();

  /// The bound addresses, valid after Start; port 0 in the settings selects a free port.
  std::string CallerAddress() const;
  std::string StatusAddress() const;
  std::string MetricsAddress() const;

  /// Runs the event loop until a graceful stop is complete. Precondition: Start succeeded.
  void Run();

  /// Begins a graceful stop, as SIGTERM does. May be called from any thread.
  void Stop();

  /// Makes Run return at once and drops requests in flight. May be called from any thread.
  void Abort();

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::engine
