/// @file A TCP relay that delays, holds or cuts a link.
#pragma once

#include <atomic>
#include <base/Time.h>
#include <cstdint>
#include <memory>
#include <net/Message.h>
#include <system_error>

namespace sapphirewind::fakes {

/// Carries bytes between its own port and a target. Thread-safe.
class Relay
{
public:
  Relay(net::Endpoint aListen, net::Endpoint aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::error_code Start();
  uint16_t Port() const;

  /// Each way takes this long.
  void SetDelay(base::Duration aDelay);
  /// Bytes carried so far, both ways.
  uint64_t BytesRelayed() const;
  /// Bytes wait until released.
  void SetHold(bool aHold);
  /// Bytes from the target wait until released; those towards it pass.
  void SetHoldAnswers(bool aHold);
  /// Breaks open connections and refuses new ones while set.
  void SetCut(bool aCut);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace sapphirewind::fakes
