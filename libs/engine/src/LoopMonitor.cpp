#include <engine/LoopMonitor.h>

#include <algorithm>

namespace sapphirewind::engine {

LoopMonitor::LoopMonitor(Options aOptions)
  : options(std::move(aOptions))
  , timer(this->options.loop)
{
}

void
LoopMonitor::Start()
{
  this->OnTimer(base::Now());
}

base::Instant
LoopMonitor::ReceivedAt(base::Instant aNow) const
{
  return std::min(aNow, this->lastDue + this->options.interval);
}

void
LoopMonitor::OnTimer(base::Instant aDue)
{
  base::Instant now = base::Now();
  this->lastDue = aDue;
  // After a delay the next tick is due at once, so that the bound catches up.
  base::Instant next = std::max(aDue + this->options.interval, now);
  this->timer.Arm(next - now, [this, next] { this->OnTimer(next); });
  this->options.onTick(now, std::max(base::Duration(0), now - aDue));
}

} // namespace sapphirewind::engine
