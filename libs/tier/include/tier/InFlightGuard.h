/// @file Counts work in flight for the graceful stop.
#pragma once

#include <atomic>

namespace sapphirewind::tier {

/// Counts work in flight for the graceful stop.
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
