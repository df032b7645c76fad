#include <tier/Freshness.h>

namespace sapphirewind::tier {

Freshness::Freshness(base::Instant aNow)
  : lastTick(aNow.time_since_epoch().count())
{
}

bool
Freshness::Tick(base::Instant aNow)
{
  base::Instant before{ base::Duration(this->lastTick.exchange(aNow.time_since_epoch().count())) };
  if (aNow - before < kFrozenGap) {
    return false;
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  this->stale = true;
  ++this->epoch;
  this->staleSince = aNow;
  this->peersHeard = false;
  this->serversHeard = false;
  return true;
}

void
Freshness::OnRefreshed(Source aSource, base::Instant aAskedAt)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->stale || aAskedAt < this->staleSince) {
    return;
  }
  this->peersHeard = this->peersHeard || aSource == Source::Peers;
  this->serversHeard = this->serversHeard || aSource == Source::Servers;
  if (this->peersHeard && this->serversHeard) {
    this->stale = false;
    this->changed.notify_all();
  }
}

bool
Freshness::IsStale() const
{
  return this->stale;
}

bool
Freshness::Pass()
{
  // The dispatching thread may run before the ticking one after a thaw, so it looks itself.
  base::Instant now = base::Now();
  if (now.time_since_epoch().count() - this->lastTick.load() >= kFrozenGap.count()) {
    this->Tick(now);
  }
  if (!this->stale) {
    return false;
  }
  std::unique_lock<std::mutex> lock(this->mutex);
  bool refreshed = this->changed.wait_for(lock, kLongestHold, [this] { return !this->stale; });
  if (!refreshed) {
    this->stale = false;
  }
  return true;
}

} // namespace sapphirewind::tier
