#include <tier/Cell.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kMaxIdleSleep = std::chrono::milliseconds(200);
constexpr base::Duration kBlockedRecheckInterval = std::chrono::milliseconds(2);
constexpr base::Duration kCancelTimeout = std::chrono::milliseconds(200);
constexpr size_t kMaxWorkers = 96;

} // namespace

Cell::Cell(CellContext& aContext,
           std::string aService,
           std::string aGroup,
           CellRole aRole,
           const std::vector<model::ServerRecord>& aServers)
  : context(aContext)
  , service(std::move(aService))
  , group(std::move(aGroup))
  , role(aRole)
  , latency(routing::kHedgeQuantile)
  , hedgeBudget{ .share = routing::kHedgeShare }
  , retryBudget{ .share = routing::kRetryShare, .tokens = 10.0 }
  , lastActivity(base::Now())
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->ApplyServers(aServers);
  this->StartWorkers();
}

Cell::~Cell()
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  for (std::thread& worker : this->workers) {
    worker.join();
  }
}

void
Cell::StartWorkers()
{
  size_t wanted = 1;
  for (const routing::Replica& replica : this->replicas) {
    wanted += replica.maxInFlight;
  }
  this->wantedWorkers = std::min(wanted, kMaxWorkers);
  while (this->workers.size() < this->wantedWorkers) {
    this->workers.emplace_back([this] { this->RunWorker(); });
  }
}

void
Cell::Submit(SearchTask aTask)
{
  auto task = std::make_shared<PendingTask>();
  task->policy = aTask.policy;
  task->fingerprint = quarantine::FingerprintOf(aTask.service, aTask.query);
  task->arrived = base::Now();
  task->deadline = aTask.deadline;
  task->search = std::move(aTask);
  std::lock_guard<std::mutex> lock(this->mutex);
  task->id = this->nextId++;
  quarantine::QuarantineState quarantineState =
    this->context.quarantine.StateOf(task->fingerprint, task->arrived);
  if (quarantineState == quarantine::QuarantineState::Quarantined) {
    this->FinishFailed(task, model::Errc::Suspect);
    return;
  }
  task->isolated = quarantineState == quarantine::QuarantineState::Suspect;
  if (task->search.canary) {
    auto [entry, first] = this->tasksHeldByCanary.try_emplace(task->fingerprint);
    if (!first) {
      entry->second.push_back(task);
      return;
    }
  }
  this->Enqueue(task);
}

void
Cell::Submit(BookingWork aWork)
{
  auto task = std::make_shared<PendingTask>();
  task->policy = aWork.task.policy;
  task->arrived = base::Now();
  task->deadline = aWork.deadline;
  task->booking = std::make_unique<BookingWork>(std::move(aWork));
  std::lock_guard<std::mutex> lock(this->mutex);
  task->id = this->nextId++;
  this->Enqueue(task);
}

void
Cell::Enqueue(const PendingTaskPointer& aTask)
{
  this->lastActivity = base::Now();
  if (aTask->isolated) {
    this->isolatedTasks.push_back(aTask);
  } else {
    this->waiting[aTask->id] = aTask;
    this->queue.Push(admission::WorkItem{ .id = aTask->id,
                                          .policy = aTask->policy,
                                          .arrived = aTask->arrived,
                                          .deadline = aTask->deadline });
  }
  this->changed.notify_one();
}

void
Cell::RunWorker()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    base::Instant now = base::Now();
    std::optional<Dispatch> dispatch = this->NextDispatch(now);
    if (dispatch) {
      // Wakes another worker to handle timers and further work during the blocking exchange.
      this->changed.notify_one();
      lock.unlock();
      AttemptResult result = this->Run(*dispatch);
      bool serverLost =
        result.outcome == AttemptOutcome::ConnectionLost && RefusesConnections(dispatch->endpoint);
      lock.lock();
      this->OnAttemptFinished(*dispatch, std::move(result), serverLost);
      continue;
    }
    bool empty = this->waiting.empty() && this->running.empty() && this->isolatedTasks.empty();
    if (this->stopping && empty) {
      this->changed.notify_all();
      return;
    }
    // One worker waits with a timeout for the next timer; the others wait to be notified.
    if (this->timedWaitActive) {
      this->changed.wait(lock);
      continue;
    }
    this->timedWaitActive = true;
    this->changed.wait_until(lock, this->NextWakeTime(now));
    this->timedWaitActive = false;
  }
}

base::Instant
Cell::NextWakeTime(base::Instant aNow) const
{
  if (!this->waiting.empty() || !this->isolatedTasks.empty()) {
    return aNow + kBlockedRecheckInterval;
  }
  base::Instant wake = aNow + kMaxIdleSleep;
  base::Duration delay = this->latency.Value();
  bool hedging = this->context.experiment.hedging && delay.count() > 0;
  for (const PendingTaskPointer& task : this->running) {
    if (!hedging || task->hedged || task->attemptsInFlight.empty()) {
      continue;
    }
    // A hedge that is due but not sent lacks a free slot or budget, so the short recheck interval
    // is enough.
    base::Instant due = task->attemptsInFlight.front()->sentAt + delay;
    wake = std::min(wake, due > aNow ? due : aNow + kBlockedRecheckInterval);
  }
  return wake;
}

void
Cell::DropLate(base::Instant aNow)
{
  for (const admission::WorkItem& item :
       this->queue.DropLate(aNow, [](model::Rank) { return base::Duration(0); })) {
    PendingTaskPointer task = this->waiting.at(item.id);
    this->waiting.erase(item.id);
    ++this->context.counters.droppedEarly;
    this->FinishFailed(task, model::Errc::DeadlinePassed);
  }
  std::vector<PendingTaskPointer> expired;
  std::erase_if(this->isolatedTasks, [&](const PendingTaskPointer& aTask) {
    bool isExpired = aTask->deadline <= aNow;
    if (isExpired) {
      expired.push_back(aTask);
    }
    return isExpired;
  });
  for (const PendingTaskPointer& task : expired) {
    this->FinishFailed(task, model::Errc::DeadlinePassed);
  }
}

std::optional<Cell::Dispatch>
Cell::NextDispatch(base::Instant aNow)
{
  this->RefreshLeaving(aNow);
  this->DropLate(aNow);
  if (std::optional<Dispatch> dispatch = this->NextIsolated(aNow)) {
    return dispatch;
  }
  // A hedge takes precedence over queued work of lower rank; NextHedge checks that no work of the
  // same or a higher rank is queued.
  if (std::optional<Dispatch> dispatch = this->NextHedge(aNow)) {
    return dispatch;
  }
  return this->NextQueued(aNow);
}

std::optional<size_t>
Cell::PickReplicaFor(const PendingTask& aTask, base::Instant aNow)
{
  base::Random& random = base::ThreadRandom();
  if (this->context.experiment.replica == config::ReplicaChoice::Random) {
    return routing::PickRandomReplica(this->replicas, random);
  }
  std::vector<std::string> tried = aTask.tried;
  if (!aTask.booking) {
    for (const auto& [name, state] : this->servers) {
      auto missing = state.missingSnapshots.find(aTask.search.snapshot);
      if (missing != state.missingSnapshots.end() && aNow < missing->second) {
        tried.push_back(name);
      }
    }
  }
  return routing::PickReplica(this->replicas, tried, aNow, random);
}

std::optional<Cell::Dispatch>
Cell::NextQueued(base::Instant aNow)
{
  std::optional<size_t> replica;
  auto canServe = [&](const admission::WorkItem& aItem, bool) {
    replica = this->PickReplicaFor(*this->waiting.at(aItem.id), aNow);
    return replica.has_value();
  };
  std::optional<admission::WorkItem> item = this->queue.PopIf(aNow, canServe);
  if (!item) {
    return std::nullopt;
  }
  PendingTaskPointer task = this->waiting.at(item->id);
  this->waiting.erase(item->id);
  if (task->attempts == 0) {
    task->queueWait = aNow - task->arrived;
    ++this->context.counters.firstAttempts;
    routing::Deposit(this->hedgeBudget);
    routing::Deposit(this->retryBudget);
  }
  return this->BeginAttempt(std::move(task), *replica, aNow, false);
}

/// Releases the reserved server if the suspect it was reserved for ended while waiting.
void
Cell::ReleaseReservedServer()
{
  bool inUse = std::any_of(this->running.begin(),
                           this->running.end(),
                           [](const PendingTaskPointer& aTask) { return aTask->isolated; });
  routing::Replica* reserved = inUse ? nullptr : this->FindReplica(this->reservedServer);
  if (reserved) {
    reserved->reserved = false;
    this->reservedServer.clear();
  }
}

std::optional<Cell::Dispatch>
Cell::NextIsolated(base::Instant aNow)
{
  if (this->isolatedTasks.empty()) {
    this->ReleaseReservedServer();
    return std::nullopt;
  }
  PendingTaskPointer task = this->isolatedTasks.front();
  if (this->reservedServer.empty()) {
    // Load is ignored here: the server is reserved first, then its requests are awaited.
    std::vector<routing::Replica> unloaded = this->replicas;
    for (routing::Replica& replica : unloaded) {
      replica.inFlight = 0;
    }
    std::optional<size_t> pick =
      routing::PickReplica(unloaded, task->tried, aNow, base::ThreadRandom());
    if (!pick) {
      return std::nullopt;
    }
    this->replicas[*pick].reserved = true;
    this->reservedServer = this->replicas[*pick].name;
  }
  routing::Replica* reserved = this->FindReplica(this->reservedServer);
  if (!reserved) {
    this->reservedServer.clear();
    return std::nullopt;
  }
  if (reserved->inFlight > 0) {
    return std::nullopt;
  }
  this->isolatedTasks.erase(this->isolatedTasks.begin());
  auto index = static_cast<size_t>(reserved - this->replicas.data());
  return this->BeginAttempt(std::move(task), index, aNow, false);
}

std::optional<Cell::Dispatch>
Cell::NextHedge(base::Instant aNow)
{
  if (!this->context.experiment.hedging) {
    return std::nullopt;
  }
  base::Duration delay = this->latency.Value();
  for (const PendingTaskPointer& task : this->running) {
    bool eligible = !task->finished && !task->hedged && !task->booking && !task->isolated &&
                    !task->search.canary && task->attemptsInFlight.size() == 1;
    if (!eligible) {
      continue;
    }
    routing::HedgeInput input{ .sentAt = task->attemptsInFlight.front()->sentAt,
                               .deadline = task->deadline,
                               .delay = delay,
                               .queueNotEmpty = this->queue.SizeAtOrAbove(task->policy.rank) > 0,
                               .budgetLeft = this->hedgeBudget.tokens >= 1.0 };
    if (!routing::HedgeIsDue(input, aNow)) {
      continue;
    }
    std::optional<size_t> replica = this->PickReplicaFor(*task, aNow);
    bool other = replica && this->replicas[*replica].name != task->attemptsInFlight.front()->server;
    if (!other || !routing::TryWithdraw(this->hedgeBudget)) {
      continue;
    }
    task->hedged = true;
    ++this->context.counters.hedges;
    return this->BeginAttempt(task, *replica, aNow, true);
  }
  return std::nullopt;
}

Cell::Dispatch
Cell::BeginAttempt(PendingTaskPointer aTask, size_t aReplica, base::Instant aNow, bool aHedge)
{
  routing::Replica& replica = this->replicas[aReplica];
  ServerState& state = this->servers.at(replica.name);
  routing::OnSent(replica);
  ++aTask->attempts;
  aTask->tried.push_back(replica.name);
  auto attempt = std::make_shared<InFlightAttempt>();
  attempt->id = base::NewId(base::ThreadRandom());
  attempt->server = replica.name;
  attempt->sentAt = aNow;
  attempt->hedge = aHedge;
  attempt->connection = state.pool->Acquire(aNow, aTask->booking != nullptr);
  aTask->attemptsInFlight.push_back(attempt);
  if (aTask->attemptsInFlight.size() == 1) {
    this->running.push_back(aTask);
  }
  model::AttemptRequest request;
  if (!aTask->booking) {
    request = model::AttemptRequest{ .attemptId = attempt->id,
                                     .requestId = aTask->search.requestId,
                                     .group = this->group,
                                     .snapshot = aTask->search.snapshot,
                                     .shards = aTask->search.shards,
                                     .query = aTask->search.query,
                                     .top = aTask->search.top,
                                     .remaining = aTask->deadline - aNow };
  }
  return Dispatch{ .task = std::move(aTask),
                   .attempt = std::move(attempt),
                   .pool = state.pool,
                   .endpoint = state.endpoint,
                   .request = std::move(request),
                   .epoch = this->context.pauseGuard.Epoch() };
}

AttemptResult
Cell::Run(Dispatch& aDispatch)
{
  // After a process pause, the choice of server may be out of date: nothing is sent, and the task
  // is queued again.
  bool waited = this->context.pauseGuard.WaitForRefresh();
  if (waited || aDispatch.epoch != this->context.pauseGuard.Epoch()) {
    return AttemptResult{ .outcome = AttemptOutcome::NotSent,
                          .detail = "state refreshed after a process pause" };
  }
  base::Duration remaining = aDispatch.task->deadline - base::Now();
  if (remaining.count() <= 0) {
    return AttemptResult{ .outcome = AttemptOutcome::DeadlinePassed,
                          .detail = "deadline passed before sending" };
  }
  net::Connection& connection = *aDispatch.attempt->connection;
  // The process may also be paused while it connects.
  auto mayStillSend = [this, epoch = aDispatch.epoch] {
    return this->context.pauseGuard.IsCurrent(epoch, base::Now());
  };
  AttemptResult result =
    aDispatch.task->booking
      ? SendBooking(
          connection, aDispatch.task->booking->task, aDispatch.attempt->id, remaining, mayStillSend)
      : SendSearch(connection, aDispatch.request, remaining, mayStillSend);
  if (result.outcome == AttemptOutcome::Aborted) {
    // The slot stays occupied until the server has received the cancellation.
    ++this->context.counters.cancelled;
    std::unique_ptr<net::Connection> cancel = aDispatch.pool->Acquire(base::Now());
    SendCancel(*cancel, aDispatch.attempt->id, kCancelTimeout);
    aDispatch.pool->Release(std::move(cancel), base::Now());
  }
  return result;
}

} // namespace sapphirewind::tier
