/// @file A TCP relay that delays, holds or cuts connections.
#pragma once

#include <atomic>
#include <base/Time.h>
#include <cstdint>
#include <memory>
#include <net/Message.h>
#include <system_error>

namespace sapphirewind::fakes {

/// Relays TCP connections from its own port to a target. Thread-safe.
class Relay
{
public:
  Relay(net::Endpoint aListen, net::Endpoint aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::error_code Start();
  uint16_t Port() const;

  /// Sets the delay added in each direction.
  void SetDelay(base::Duration aDelay);
  /// Bytes relayed so far, in both directions.
  uint64_t BytesRelayed() const;
  /// While set, buffers bytes in both directions.
  void SetHold(bool aHold);
  /// While set, buffers bytes from the target; bytes to the target pass.
  void SetHoldAnswers(bool aHold);
  /// While set, closes open connections and new ones.
  void SetCut(bool aCut);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace sapphirewind::fakes
