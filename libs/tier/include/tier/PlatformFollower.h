/// @file Keeps the object cache up to date with the platform at a bounded call rate.
#pragma once

#include <atomic>
#include <base/Random.h>
#include <base/Time.h>
#include <functional>
#include <platform/Store.h>
#include <tier/ObjectCache.h>
#include <tier/PauseGuard.h>
#include <tier/SharedState.h>

namespace sapphirewind::tier {

/// The poll interval of an instance that does not watch. Grows with the number of instances, so
/// that the polls of all instances together stay under a fixed rate.
base::Duration
SlowPollInterval(size_t aInstanceCount);

/// The backoff after consecutive failures. Jitter keeps instances from overloading a recovering
/// store with simultaneous calls.
base::Duration
BackoffDelay(size_t aFailures, base::Random& aRandom);

/// Dependencies of PlatformFollower. The references outlive it.
struct FollowerContext
{
  platform::Store& store;
  ObjectCache& objects;
  PauseGuard& pauseGuard;
  Counters& counters;
  std::function<void()> onChange;
};

/// Step is called from one thread; UnreachableSince is thread-safe.
class PlatformFollower
{
public:
  explicit PlatformFollower(FollowerContext aContext);

  /// Lists or watches once and reads the changed objects. A watcher's call waits up to 4 s for a
  /// change. Returns how long to wait before the next step.
  base::Duration Step(bool aWatcher, size_t aInstanceCount, base::Random& aRandom);

  /// The time of the first failure since the store last answered; empty while it answers.
  std::optional<base::Instant> UnreachableSince() const;

private:
  bool ReadChanges(const platform::WatchResponse& aAnswer);
  void OnAnswer(bool aAnswered);

  FollowerContext context;
  uint64_t revision = 0;
  size_t failures = 0;
  std::atomic<int64_t> unreachableSince{ 0 };
};

} // namespace sapphirewind::tier
