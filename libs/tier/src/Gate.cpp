#include <tier/Gate.h>

#include <algorithm>

namespace sapphirewind::tier {

namespace {

/// Queries that may wait in an instance for one service.
constexpr size_t kMostWaiting = 128;
/// The weight of the newest query in the typical time.
constexpr double kTypicalWeight = 0.05;
/// A query is dropped when less than this many typical times are left to it.
constexpr double kLeastTimes = 2.0;

void
Smooth(double& aTypical, base::Duration aTime)
{
  double micros = static_cast<double>(aTime.count());
  aTypical = aTypical == 0.0 ? micros : aTypical + kTypicalWeight * (micros - aTypical);
}

} // namespace

Admission
Gate::Enter(const model::ClassPolicy& aPolicy, base::Instant aDeadline)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  bool nobodyBefore = this->queue.SizeAtOrAbove(aPolicy.rank) == 0;
  size_t before = this->InFlightAtOrAbove(aPolicy.rank);
  if (nobodyBefore && admission::MayStart(this->limit, aPolicy.rank, before)) {
    this->Start(aPolicy);
    return Admission{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  }
  if (this->queue.Size() >= kMostWaiting) {
    std::optional<admission::WorkItem> evicted = this->queue.EvictBelow(aPolicy.rank);
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
    admission::WorkItem{ .id = id, .policy = aPolicy, .arrived = now, .deadline = aDeadline });
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
Gate::DropLate(base::Instant aNow)
{
  auto leastTime = [this](model::Rank aRank) {
    double took = this->tookMicros[static_cast<size_t>(aRank)];
    return base::Duration(static_cast<int64_t>(took * kLeastTimes));
  };
  for (const admission::WorkItem& late : this->queue.DropLate(aNow, leastTime)) {
    auto waiter = this->waiters.find(late.id);
    if (waiter != this->waiters.end()) {
      waiter->second->evicted = true;
      waiter->second->wake.notify_one();
    }
  }
}

void
Gate::Start(const model::ClassPolicy& aPolicy)
{
  ++this->inFlightByRank[static_cast<size_t>(aPolicy.rank)];
  ++this->inFlightByClass[aPolicy.className];
}

size_t
Gate::InFlightAtOrAbove(model::Rank aRank) const
{
  size_t count = 0;
  for (model::Rank rank : model::kRanks) {
    count += rank <= aRank ? this->inFlightByRank[static_cast<size_t>(rank)] : 0;
  }
  return count;
}

void
Gate::AdmitWaiting(base::Instant aNow)
{
  this->DropLate(aNow);
  auto mayServe = [this](const admission::WorkItem& aItem, bool aByFloor) {
    const model::ClassPolicy& policy = aItem.policy;
    if (aByFloor) {
      size_t ofClass = this->inFlightByClass[policy.className];
      return admission::MayStartWithinGuarantee(this->limit, policy.guaranteedShare, ofClass);
    }
    return admission::MayStart(this->limit, policy.rank, this->InFlightAtOrAbove(policy.rank));
  };
  while (std::optional<admission::WorkItem> item = this->queue.PopIf(aNow, mayServe)) {
    std::shared_ptr<Waiter> waiter = this->waiters.at(item->id);
    waiter->admitted = true;
    this->Start(item->policy);
    waiter->wake.notify_one();
  }
}

void
Gate::Leave(const model::ClassPolicy& aPolicy, base::Duration aMeanWait, base::Duration aTook)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  auto rank = static_cast<size_t>(aPolicy.rank);
  --this->inFlightByRank[rank];
  --this->inFlightByClass[aPolicy.className];
  // Without the waits: they would make a long queue look like slow work, and so justify itself.
  base::Duration work = std::max(aTook - aMeanWait, base::Duration(0));
  Smooth(this->workMicros, work);
  Smooth(this->tookMicros[rank], aTook);
  base::Duration typical(static_cast<int64_t>(this->workMicros));
  admission::OnFinished(this->limit, this->options, aMeanWait, typical, now);
  this->AdmitWaiting(now);
}

int
Gate::RetryAfter() const
{
  base::Duration typical(static_cast<int64_t>(this->workMicros));
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
  return this->InFlightAtOrAbove(model::Rank::Deferrable);
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
