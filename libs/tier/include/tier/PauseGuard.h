/// @file Detects pauses of the process (a stopped VM, SIGSTOP, swapping) and holds new dispatches
/// until the state that they rely on has been refreshed.
#pragma once

#include <atomic>
#include <base/Time.h>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace sapphirewind::tier {

/// A gap between two ticks of at least this length counts as a process pause.
constexpr base::Duration kPauseThreshold = std::chrono::milliseconds(1500);
/// The longest that a dispatch is held for a refresh. After that it proceeds on the old state,
/// since no source may be reachable.
constexpr base::Duration kMaxRefreshWait = std::chrono::milliseconds(1000);

/// The sources that must be read again after a process pause. The platform's list lags, so it
/// replaces neither.
enum class RefreshSource
{
  Peers,  ///< A peer's gossip answer: leaving servers and quarantined requests.
  Servers ///< Health polls of the servers in use.
};

/// Thread-safe. A background thread calls Tick; every dispatch calls WaitForRefresh.
class PauseGuard
{
public:
  explicit PauseGuard(base::Instant aNow);

  /// Called several times a second. Returns whether the process was paused since the last call.
  bool Tick(base::Instant aNow);

  /// Records that a source's state was updated with an answer requested at aRequestedAt. An answer
  /// requested before the pause was detected does not count.
  void OnRefreshed(RefreshSource aSource, base::Instant aRequestedAt);

  /// Returns false at once while the state is fresh. After a process pause, waits for the refresh,
  /// at most kMaxRefreshWait, and returns true: decisions made before the call must be made again.
  bool WaitForRefresh();

  /// Whether a decision made under an epoch still holds: there was no pause since. Does not wait.
  bool IsCurrent(uint64_t aEpoch, base::Instant aNow);

  /// The number of pauses detected. Decisions made under another epoch must be made again.
  uint64_t Epoch() const { return this->epoch; }

  /// Whether a refresh is pending.
  bool IsStale() const;

private:
  /// Ticks if a pause has not been noticed yet: after it, a dispatching thread may run before the
  /// ticking one.
  void NoticePause(base::Instant aNow);

  std::atomic<int64_t> lastTick;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::atomic<bool> stale{ false };
  std::atomic<uint64_t> epoch{ 0 };
  base::Instant staleSince{};
  bool peersRefreshed = false;
  bool serversRefreshed = false;
};

} // namespace sapphirewind::tier
