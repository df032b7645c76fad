/// @file A timer that runs at most the callback that was armed last.
///
/// A handler of Asio's timers that is queued already runs in spite of a cancel or a new expiry
/// time. Such a late handler has ended processes and closed connections in use, so code that arms a
/// timer more than once uses this class.
#pragma once

#include <engine/Asio.h>
#include <functional>

namespace sapphirewind::engine {

class OneShotTimer
{
public:
  explicit OneShotTimer(Loop& aLoop)
    : timer(aLoop)
  {
  }

  /// Runs a callback after a time, in place of the one that was armed before. The callback must
  /// keep alive what it uses.
  void Arm(base::Duration aAfter, std::function<void()> aCallback)
  {
    uint64_t number = ++*this->current;
    this->timer.expires_after(aAfter);
    this->timer.async_wait(
      [armed = this->current, number, callback = std::move(aCallback)](ErrorCode aError) {
        if (!aError && *armed == number) {
          callback();
        }
      });
  }

  void Disarm()
  {
    ++*this->current;
    this->timer.cancel();
  }

private:
  Timer timer;
  /// Identifies the callback that was armed last; outlives this object for handlers still queued.
  std::shared_ptr<uint64_t> current = std::make_shared<uint64_t>(0);
};

} // namespace sapphirewind::engine
