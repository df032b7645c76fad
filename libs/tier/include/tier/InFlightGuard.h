/// @file A scope guard that counts work in flight for the graceful shutdown.
#pragma once

#include <atomic>

namespace sapphirewind::tier {

/// Increments a count for the lifetime of the guard; the graceful shutdown waits for zero.
class InFlightGuard
{
public:
  explicit InFlightGuard(std::atomic<int>& aCount)
    : count(aCount)
  {
    ++this->count;
  }
  ~InFlightGuard() { --this->count; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

private:
  std::atomic<int>& count;
};

} // namespace sapphirewind::tier
