#include <tier/PauseGuard.h>

namespace sapphirewind::tier {

PauseGuard::PauseGuard(base::Instant aNow)
  : lastTick(aNow.time_since_epoch().count())
{
}

bool
PauseGuard::Tick(base::Instant aNow)
{
  base::Instant previousTick{ base::Duration(
    this->lastTick.exchange(aNow.time_since_epoch().count())) };
  if (aNow - previousTick < kPauseThreshold) {
    return false;
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  this->stale = true;
  ++this->epoch;
  this->staleSince = aNow;
  this->peersRefreshed = false;
  this->serversRefreshed = false;
  return true;
}

void
PauseGuard::OnRefreshed(RefreshSource aSource, base::Instant aRequestedAt)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->stale || aRequestedAt < this->staleSince) {
    return;
  }
  this->peersRefreshed = this->peersRefreshed || aSource == RefreshSource::Peers;
  this->serversRefreshed = this->serversRefreshed || aSource == RefreshSource::Servers;
  if (this->peersRefreshed && this->serversRefreshed) {
    this->stale = false;
    this->changed.notify_all();
  }
}

bool
PauseGuard::IsStale() const
{
  return this->stale;
}

void
PauseGuard::NoticePause(base::Instant aNow)
{
  if (aNow.time_since_epoch().count() - this->lastTick.load() >= kPauseThreshold.count()) {
    this->Tick(aNow);
  }
}

bool
PauseGuard::IsCurrent(uint64_t aEpoch, base::Instant aNow)
{
  this->NoticePause(aNow);
  return this->epoch == aEpoch;
}

bool
PauseGuard::WaitForRefresh()
{
  this->NoticePause(base::Now());
  if (!this->stale) {
    return false;
  }
  std::unique_lock<std::mutex> lock(this->mutex);
  bool refreshed = this->changed.wait_for(lock, kMaxRefreshWait, [this] { return !this->stale; });
  if (!refreshed) {
    this->stale = false;
  }
  return true;
}

} // namespace sapphirewind::tier
