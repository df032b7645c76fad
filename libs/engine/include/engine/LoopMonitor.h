/// @file Notices when the event loop runs late, and bounds how long received bytes went unread.
///
/// The loop reads a socket only between other handlers. On a busy machine a request may lie in its
/// socket for a second, of which nothing is seen when it is read, while its caller's time runs out.
/// A timer gives the bound: handlers for bytes that had arrived when it became due are queued
/// before its own, so what is read after that handler arrived after the timer was due.
#pragma once

#include <engine/OneShotTimer.h>

namespace sapphirewind::engine {

class LoopMonitor
{
public:
  struct Options
  {
    Loop& loop;
    base::Duration interval{ 0 };
    /// Called at each interval, with the time by which the loop is late.
    std::function<void(base::Instant aNow, base::Duration aLag)> onTick;
  };

  explicit LoopMonitor(Options aOptions);

  /// Starts the timer; the first tick runs at once.
  void Start();

  /// When bytes count as received whose handler runs at aNow: now if the loop is in time, otherwise
  /// the time at which it should have looked. They arrived at most one interval earlier.
  base::Instant ReceivedAt(base::Instant aNow) const;

private:
  void OnTimer(base::Instant aDue);

  Options options;
  OneShotTimer timer;
  /// When the timer was due whose handler ran last.
  base::Instant lastDue{};
};

} // namespace sapphirewind::engine
