#include <tier/AdmissionController.h>

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

AdmissionDecision
AdmissionController::Admit(const model::Service& aHandling, base::Instant aDeadline)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  bool nobodyBefore = this->queue.SizeAtOrAbove(aHandling.rank) == 0;
  size_t before = this->InFlightAtOrAbove(aHandling.rank);
  if (nobodyBefore && admission::MayStart(this->limit, aHandling.rank, before)) {
    this->Start(aHandling);
    return AdmissionDecision{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  }
  if (this->queue.Size() >= kMostWaiting) {
    std::optional<admission::WorkItem> evicted = this->queue.EvictBelow(aHandling.rank);
    if (!evicted) {
      return AdmissionDecision{ .admitted = false,
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
    return AdmissionDecision{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  }
  this->queue.Remove(id);
  return AdmissionDecision{ .admitted = false,
                            .reason = model::Errc::Overloaded,
                            .retryAfterSeconds = this->RetryAfter() };
}

void
AdmissionController::DropLate(base::Instant aNow)
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
AdmissionController::Start(const model::Service& aHandling)
{
  ++this->inFlightByRank[static_cast<size_t>(aHandling.rank)];
  ++this->inFlightByClass[aHandling.className];
}

size_t
AdmissionController::InFlightAtOrAbove(model::Rank aRank) const
{
  size_t count = 0;
  for (model::Rank rank : model::kRanks) {
    count += rank <= aRank ? this->inFlightByRank[static_cast<size_t>(rank)] : 0;
  }
  return count;
}

void
AdmissionController::AdmitWaiting(base::Instant aNow)
{
  this->DropLate(aNow);
  auto mayServe = [this](const admission::WorkItem& aItem, bool aByFloor) {
    const model::Service& handling = aItem.handling;
    if (aByFloor) {
      size_t ofClass = this->inFlightByClass[handling.className];
      return admission::MayStartWithinGuarantee(this->limit, handling.floor, ofClass);
    }
    return admission::MayStart(this->limit, handling.rank, this->InFlightAtOrAbove(handling.rank));
  };
  while (std::optional<admission::WorkItem> item = this->queue.PopIf(aNow, mayServe)) {
    std::shared_ptr<Waiter> waiter = this->waiters.at(item->id);
    waiter->admitted = true;
    this->Start(item->handling);
    waiter->wake.notify_one();
  }
}

void
AdmissionController::OnFinished(const model::Service& aHandling,
                                base::Duration aMeanWait,
                                base::Duration aTook)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  auto rank = static_cast<size_t>(aHandling.rank);
  --this->inFlightByRank[rank];
  --this->inFlightByClass[aHandling.className];
  // Without the waits: they would make a long queue look like slow work, and so justify itself.
  base::Duration work = std::max(aTook - aMeanWait, base::Duration(0));
  Smooth(this->workMicros, work);
  Smooth(this->tookMicros[rank], aTook);
  base::Duration typical(static_cast<int64_t>(this->workMicros));
  admission::OnFinished(this->limit, this->options, aMeanWait, typical, now);
  this->AdmitWaiting(now);
}

int
AdmissionController::RetryAfter() const
{
  base::Duration typical(static_cast<int64_t>(this->workMicros));
  return admission::RetryAfterSeconds(
    admission::ExpectedWait(this->limit, this->queue.Size(), typical));
}

double
AdmissionController::Limit() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->limit.limit;
}

size_t
AdmissionController::InFlight() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->InFlightAtOrAbove(model::Rank::Deferrable);
}

size_t
AdmissionController::Waiting() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->queue.Size();
}

AdmissionController&
AdmissionControllers::ForService(const std::string& aService)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::unique_ptr<AdmissionController>& gate = this->gates[aService];
  if (!gate) {
    gate = std::make_unique<AdmissionController>();
  }
  return *gate;
}

} // namespace sapphirewind::tier
