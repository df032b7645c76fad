#include <tier/Gate.h>

#include <algorithm>

namespace sapphirewind::tier {

namespace {

/// Queries that may wait in an instance for one service.
constexpr size_t kMostWaiting = 128;
/// The weight of the newest query in the typical time.
constexpr double kTypicalWeight = 0.05;
constexpr double kFirstTypicalMicros = 20'000.0;
/// A query is dropped when less than this many typical times are left to it.
constexpr double kLeastTimes = 1.2;

} // namespace

Admission
Gate::Enter(const model::Service& aHandling, base::Instant aDeadline)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  bool nobodyBefore = this->queue.SizeAtOrAbove(aHandling.rank) == 0;
  if (nobodyBefore && admission::MayStart(this->limit, aHandling.rank, this->inFlight)) {
    ++this->inFlight;
    return Admission{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  }
  if (this->queue.Size() >= kMostWaiting) {
    std::optional<admission::WorkItem> evicted = this->queue.EvictBelow(aHandling.rank);
    if (!evicted) {
      return Admission{ .admitted = false,
                        .reason = model::Errc::Overloaded,
                        .retryAfterSeconds = this->RetryAfter() };
    }
    std::shared_ptr<Waiter> other = this->waiters.at(evicted->id);
    other->evicted = true;
    other->wake.notify_one();
  }
  uint64_t id = this->nextId++;
  auto waiter = std::make_shared<Waiter>();
  this->waiters[id] = waiter;
  this->queue.Push(
    admission::WorkItem{ .id = id, .handling = aHandling, .arrived = now, .deadline = aDeadline });
  this->AdmitWaiting(now);
  waiter->wake.wait_until(lock, aDeadline, [&] { return waiter->admitted || waiter->evicted; });
  this->waiters.erase(id);
  if (waiter->admitted) {
    return Admission{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  }
  this->queue.Remove(id);
  return Admission{ .admitted = false,
                    .reason = model::Errc::Overloaded,
                    .retryAfterSeconds = this->RetryAfter() };
}

void
Gate::AdmitWaiting(base::Instant aNow)
{
  double typical = this->typicalMicros > 0.0 ? this->typicalMicros : kFirstTypicalMicros;
  base::Duration least(static_cast<int64_t>(typical * kLeastTimes));
  for (const admission::WorkItem& late : this->queue.DropLate(aNow, least)) {
    auto waiter = this->waiters.find(late.id);
    if (waiter != this->waiters.end()) {
      waiter->second->evicted = true;
      waiter->second->wake.notify_one();
    }
  }
  // A class below its floor may use the whole limit; by rank, the lower ones leave room.
  auto mayServe = [this](const admission::WorkItem& aItem, bool aByFloor) {
    model::Rank rank = aByFloor ? model::Rank::Urgent : aItem.handling.rank;
    return admission::MayStart(this->limit, rank, this->inFlight);
  };
  while (std::optional<admission::WorkItem> item = this->queue.PopIf(aNow, mayServe)) {
    std::shared_ptr<Waiter> waiter = this->waiters.at(item->id);
    waiter->admitted = true;
    ++this->inFlight;
    waiter->wake.notify_one();
  }
}

void
Gate::Leave(base::Duration aMeanWait, base::Duration aTook)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  --this->inFlight;
  // Without the waits: they would make a long queue look like slow work, and so justify itself.
  double took = static_cast<double>(std::max(aTook - aMeanWait, base::Duration(0)).count());
  this->typicalMicros = this->typicalMicros == 0.0
                          ? took
                          : this->typicalMicros + kTypicalWeight * (took - this->typicalMicros);
  base::Duration typical(static_cast<int64_t>(this->typicalMicros));
  admission::OnFinished(this->limit, this->options, aMeanWait, typical, now);
  this->AdmitWaiting(now);
}

int
Gate::RetryAfter() const
{
  base::Duration typical(static_cast<int64_t>(this->typicalMicros));
  return admission::RetryAfterSeconds(
    admission::ExpectedWait(this->limit, this->queue.Size(), typical));
}

double
Gate::Limit() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->limit.limit;
}

size_t
Gate::InFlight() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->inFlight;
}

size_t
Gate::Waiting() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->queue.Size();
}

Gate&
Gates::Of(const std::string& aService)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::unique_ptr<Gate>& gate = this->gates[aService];
  if (!gate) {
    gate = std::make_unique<Gate>();
  }
  return *gate;
}

} // namespace sapphirewind::tier
