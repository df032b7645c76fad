#include <tier/PlatformFollower.h>

#include <algorithm>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kWatchWait = std::chrono::seconds(4);
constexpr base::Duration kMinPollInterval = std::chrono::seconds(5);
/// Polls per second of all instances that do not watch, taken together.
constexpr double kMaxPollsPerSecond = 20.0;
constexpr base::Duration kInitialBackoff = std::chrono::milliseconds(200);
constexpr base::Duration kMaxBackoff = std::chrono::seconds(5);
constexpr size_t kMaxBackoffDoublings = 5;

} // namespace

base::Duration
SlowPollInterval(size_t aInstanceCount)
{
  auto interval =
    std::chrono::duration<double>(static_cast<double>(aInstanceCount) / kMaxPollsPerSecond);
  return std::max(kMinPollInterval, std::chrono::duration_cast<base::Duration>(interval));
}

base::Duration
BackoffDelay(size_t aFailures, base::Random& aRandom)
{
  size_t doublings = std::min(aFailures > 0 ? aFailures - 1 : 0, kMaxBackoffDoublings);
  base::Duration delay = std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
  double jitter = 0.5 + base::UniformUnit(aRandom);
  return base::Duration(static_cast<int64_t>(static_cast<double>(delay.count()) * jitter));
}

PlatformFollower::PlatformFollower(FollowerContext aContext)
  : context(std::move(aContext))
{
}

void
PlatformFollower::OnAnswer(bool aAnswered)
{
  if (aAnswered) {
    if (this->unreachableSince.exchange(0) != 0) {
      telemetry::Log(telemetry::Event::StoreBack, {});
    }
    this->failures = 0;
    return;
  }
  ++this->failures;
  if (this->unreachableSince == 0) {
    this->unreachableSince = base::Now().time_since_epoch().count();
    telemetry::Log(telemetry::Event::StoreLost, {});
  }
}

bool
PlatformFollower::ReadChanges(const platform::WatchResponse& aAnswer)
{
  bool updated = false;
  bool complete = true;
  for (const platform::ObjectChange& change : aAnswer.changes) {
    if (change.version <= this->context.objects.VersionOf(change.name)) {
      continue;
    }
    ++this->context.counters.storeCalls;
    base::Result<platform::VersionedValue> object = this->context.store.Read(change.name);
    if (!object) {
      complete = false;
      continue;
    }
    updated = this->context.objects.UpdateIfNewer(change.name, *object) || updated;
    // A stale read, older than the change reported: list again from the same revision.
    complete = complete && object->version >= change.version;
  }
  if (updated) {
    this->context.onChange();
  }
  return complete;
}

base::Duration
PlatformFollower::Step(bool aWatcher, size_t aInstanceCount, base::Random& aRandom)
{
  bool stale = this->context.pauseGuard.IsStale();
  bool fullList = !aWatcher || stale || this->revision == 0;
  ++this->context.counters.storeCalls;
  base::Result<platform::WatchResponse> answer =
    this->context.store.Watch(platform::kWatchedPrefix,
                              fullList ? 0 : this->revision,
                              fullList ? base::Duration(0) : kWatchWait);
  this->OnAnswer(static_cast<bool>(answer));
  if (!answer) {
    return BackoffDelay(this->failures, aRandom);
  }
  bool complete = this->ReadChanges(*answer);
  if (!complete) {
    return BackoffDelay(1, aRandom);
  }
  this->revision = answer->revision;
  if (aWatcher) {
    return base::Duration(0);
  }
  double jitter = 0.75 + 0.5 * base::UniformUnit(aRandom);
  auto interval = static_cast<double>(SlowPollInterval(aInstanceCount).count()) * jitter;
  return base::Duration(static_cast<int64_t>(interval));
}

std::optional<base::Instant>
PlatformFollower::UnreachableSince() const
{
  int64_t since = this->unreachableSince;
  return since == 0 ? std::nullopt : std::optional(base::Instant(base::Duration(since)));
}

} // namespace sapphirewind::tier
