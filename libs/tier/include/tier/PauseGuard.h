/// @file Notices that the process stood still, and holds new work until its knowledge is refreshed.
#pragma once

#include <atomic>
#include <base/Time.h>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace sapphirewind::tier {

/// The gap between two ticks that counts as having been frozen.
constexpr base::Duration kPauseThreshold = std::chrono::milliseconds(1500);
/// The longest that work is held for a refresh; with nobody to ask, the old knowledge must do.
constexpr base::Duration kMaxRefreshWait = std::chrono::milliseconds(1000);

/// Whose word is wanted after a freeze. The platform's list lags, so it does not stand in for
/// either.
enum class RefreshSource
{
  Peers,  ///< A peer's answer: servers it heard to be leaving, requests it condemned.
  Servers ///< The health of the servers in use, asked of themselves.
};

/// Thread-safe. A background thread ticks; every dispatch passes the gate.
class PauseGuard
{
public:
  explicit PauseGuard(base::Instant aNow);

  /// Called several times a second. Returns whether the process had stood still.
  bool Tick(base::Instant aNow);

  /// A source's knowledge was taken in; it was asked for at a moment.
  void OnRefreshed(RefreshSource aSource, base::Instant aRequestedAt);

  /// Returns false at once while fresh. After a freeze, waits for the refresh or the longest hold
  /// and returns true: what was decided before must be decided again.
  bool WaitForRefresh();

  /// Grows with every freeze noticed. What was decided under another epoch must be decided again.
  uint64_t Epoch() const { return this->epoch; }

  /// Whether a refresh is wanted.
  bool IsStale() const;

private:
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
