#include <tier/AdmissionController.h>

#include <algorithm>

namespace sapphirewind::tier {

namespace {

/// Maximum number of queries per service that wait in an instance.
constexpr size_t kMaxQueuedQueries = 128;
/// The weight of the newest query in the moving averages of the query time.
constexpr double kAverageWeight = 0.05;
/// A queued query is dropped if the time left until its deadline is shorter than this many average
/// query times of its rank.
constexpr double kMinQueryTimesLeft = 2.0;

void
UpdateAverage(double& aAverageMicros, base::Duration aSample)
{
  double micros = static_cast<double>(aSample.count());
  aAverageMicros =
    aAverageMicros == 0.0 ? micros : aAverageMicros + kAverageWeight * (micros - aAverageMicros);
}

} // namespace

AdmissionDecision
AdmissionController::Admit(const model::ClassPolicy& aPolicy, base::Instant aDeadline)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  bool queueEmptyAhead = this->queue.SizeAtOrAbove(aPolicy.rank) == 0;
  size_t inFlightAhead = this->InFlightAtOrAbove(aPolicy.rank);
  if (queueEmptyAhead && admission::MayStart(this->limit, aPolicy.rank, inFlightAhead)) {
    this->RecordStart(aPolicy);
    return AdmissionDecision{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  }
  if (this->queue.Size() >= kMaxQueuedQueries) {
    std::optional<admission::WorkItem> evicted = this->queue.EvictBelow(aPolicy.rank);
    if (!evicted) {
      return AdmissionDecision{ .admitted = false,
                                .reason = model::Errc::Overloaded,
                                .retryAfterSeconds = this->RetryAfter() };
    }
    std::shared_ptr<Waiter> evictedWaiter = this->waiters.at(evicted->id);
    evictedWaiter->evicted = true;
    evictedWaiter->wake.notify_one();
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
  auto minServiceTime = [this](model::Rank aRank) {
    double averageMicros = this->elapsedMicros[static_cast<size_t>(aRank)];
    return base::Duration(static_cast<int64_t>(averageMicros * kMinQueryTimesLeft));
  };
  for (const admission::WorkItem& item : this->queue.DropLate(aNow, minServiceTime)) {
    auto waiter = this->waiters.find(item.id);
    if (waiter != this->waiters.end()) {
      waiter->second->evicted = true;
      waiter->second->wake.notify_one();
    }
  }
}

void
AdmissionController::RecordStart(const model::ClassPolicy& aPolicy)
{
  ++this->inFlightByRank[static_cast<size_t>(aPolicy.rank)];
  ++this->inFlightByClass[aPolicy.className];
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
  auto mayStart = [this](const admission::WorkItem& aItem, bool aWithinGuarantee) {
    const model::ClassPolicy& policy = aItem.policy;
    if (aWithinGuarantee) {
      size_t ofClass = this->inFlightByClass[policy.className];
      return admission::MayStartWithinGuarantee(this->limit, policy.guaranteedShare, ofClass);
    }
    return admission::MayStart(this->limit, policy.rank, this->InFlightAtOrAbove(policy.rank));
  };
  while (std::optional<admission::WorkItem> item = this->queue.PopIf(aNow, mayStart)) {
    std::shared_ptr<Waiter> waiter = this->waiters.at(item->id);
    waiter->admitted = true;
    this->RecordStart(item->policy);
    waiter->wake.notify_one();
  }
}

void
AdmissionController::OnFinished(const model::ClassPolicy& aPolicy,
                                base::Duration aMeanSlotWait,
                                base::Duration aElapsed)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  base::Instant now = base::Now();
  auto rank = static_cast<size_t>(aPolicy.rank);
  --this->inFlightByRank[rank];
  --this->inFlightByClass[aPolicy.className];
  // The waits for slots are excluded: they would make a long queue look like slow work, which would
  // in turn allow a longer queue.
  base::Duration work = std::max(aElapsed - aMeanSlotWait, base::Duration(0));
  UpdateAverage(this->workMicros, work);
  UpdateAverage(this->elapsedMicros[rank], aElapsed);
  base::Duration averageWork(static_cast<int64_t>(this->workMicros));
  admission::OnFinished(this->limit, this->options, aMeanSlotWait, averageWork, now);
  this->AdmitWaiting(now);
}

int
AdmissionController::RetryAfter() const
{
  base::Duration averageWork(static_cast<int64_t>(this->workMicros));
  return admission::RetryAfterSeconds(
    admission::ExpectedWait(this->limit, this->queue.Size(), averageWork));
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
  std::unique_ptr<AdmissionController>& controller = this->controllers[aService];
  if (!controller) {
    controller = std::make_unique<AdmissionController>();
  }
  return *controller;
}

} // namespace sapphirewind::tier
