/// @file Keeps the object cache up to date with the platform, at a bounded rate of calls.
#pragma once

#include <atomic>
#include <base/Random.h>
#include <base/Time.h>
#include <functional>
#include <platform/Store.h>
#include <tier/Freshness.h>
#include <tier/ObjectCache.h>
#include <tier/Shared.h>

namespace sapphirewind::tier {

/// How long an instance that does not watch waits between its looks at the platform. Grows with the
/// fleet, so that all such looks together stay under a fixed rate.
base::Duration
SlowPollInterval(size_t aFleet);

/// The pause after failures in a row, with jitter, so that a store that comes back is not stormed.
base::Duration
BackoffAfter(size_t aFailures, base::Random& aRandom);

/// What following needs. The references outlive it.
struct FollowerContext
{
  platform::Store& store;
  ObjectCache& objects;
  Freshness& freshness;
  Counters& counters;
  std::function<void()> onChange;
};

/// Used from one thread; the state queries are safe from any.
class PlatformFollower
{
public:
  explicit PlatformFollower(FollowerContext aContext);

  /// Lists or watches once and reads what changed. A watcher waits in the call for up to aWait.
  /// Returns how long to wait before the next step.
  base::Duration Step(bool aWatcher, size_t aFleet, base::Random& aRandom);

  /// Since when the store has not answered; empty while it does.
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
