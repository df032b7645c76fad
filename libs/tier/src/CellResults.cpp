#include <tier/Cell.h>

#include <algorithm>
#include <cassert>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kMissingSnapshotLifetime = std::chrono::milliseconds(500);

model::Errc
ReasonOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Shed:
      return model::Errc::Overloaded;
    case AttemptOutcome::NoSnapshot:
      return model::Errc::NoSnapshot;
    case AttemptOutcome::DeadlinePassed:
    case AttemptOutcome::TimedOut:
      return model::Errc::DeadlinePassed;
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::NotSent:
      return model::Errc::NoReplica;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Discarded:
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::Aborted:
    case AttemptOutcome::Failed:
      return model::Errc::UpstreamFailed;
  }
  return model::Errc::UpstreamFailed;
}

} // namespace

routing::Replica*
Cell::FindReplica(const std::string& aServer)
{
  auto found =
    std::find_if(this->replicas.begin(),
                 this->replicas.end(),
                 [&](const routing::Replica& aReplica) { return aReplica.name == aServer; });
  return found == this->replicas.end() ? nullptr : &*found;
}

bool
Cell::AnyServing() const
{
  return std::any_of(this->replicas.begin(),
                     this->replicas.end(),
                     [](const routing::Replica& aReplica) { return !aReplica.leaving; });
}

void
Cell::OnAttemptFinished(Dispatch& aDispatch, AttemptResult aResult, bool aServerLost)
{
  base::Instant now = base::Now();
  this->lastActivity = now;
  const InFlightAttempt& attempt = *aDispatch.attempt;
  if (this->reservedServer == attempt.server && aDispatch.task->isolated) {
    if (routing::Replica* reserved = this->FindReplica(attempt.server)) {
      reserved->reserved = false;
    }
    this->reservedServer.clear();
  }
  this->RecordAtReplica(attempt, aResult, now);
  aDispatch.pool->Release(std::move(aDispatch.attempt->connection), now);
  PendingTask& task = *aDispatch.task;
  std::erase(task.attemptsInFlight, aDispatch.attempt);
  task.mayHaveRun = task.mayHaveRun || !ProvesNotRun(aResult.outcome);
  if (task.attemptsInFlight.empty()) {
    std::erase(this->running, aDispatch.task);
  }
  if (task.finished) {
    return;
  }
  if (aResult.outcome == AttemptOutcome::NotSent) {
    std::erase(task.tried, attempt.server);
    --task.attempts;
    // Forces a fresh lookup of leaving servers, so that the next choice uses the refreshed state.
    this->leavingCheckedAt = base::Instant{};
  }
  if (task.booking) {
    this->HandleBookingResult(aDispatch.task, aResult);
  } else if (aServerLost) {
    this->HandleServerLost(aDispatch.task, attempt.server);
  } else {
    this->HandleSearchResult(aDispatch.task, aResult, attempt.server);
  }
}

void
Cell::RecordAtReplica(const InFlightAttempt& aAttempt,
                      const AttemptResult& aResult,
                      base::Instant aNow)
{
  if (aResult.draining && this->context.leaving.MarkLeaving(aAttempt.server, kLeavingTtl, aNow)) {
    telemetry::Log(telemetry::Event::ServerLeaving,
                   { { "server", aAttempt.server }, { "heard", "in-band" } });
  }
  routing::Replica* replica = this->FindReplica(aAttempt.server);
  if (!replica) {
    return;
  }
  replica->leaving = replica->leaving || aResult.draining;
  if (aResult.load) {
    routing::OnLoadReport(*replica, *aResult.load, aNow);
  }
  switch (aResult.outcome) {
    case AttemptOutcome::Answered:
      routing::OnAnswered(*replica, aResult.elapsed, aNow);
      this->latency.Add(aResult.elapsed);
      break;
    case AttemptOutcome::Shed:
      routing::OnShed(*replica, aNow, base::ThreadRandom());
      telemetry::Log(telemetry::Event::ServerShed, { { "server", aAttempt.server } });
      break;
    case AttemptOutcome::NoSnapshot:
    case AttemptOutcome::DeadlinePassed:
    case AttemptOutcome::NotSent:
      routing::OnRefused(*replica);
      break;
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Aborted:
      routing::OnAbandoned(*replica, aResult.elapsed);
      break;
    case AttemptOutcome::ConnectFailed:
      routing::OnFailed(*replica, routing::FailureKind::ConnectFailed, aNow);
      break;
    case AttemptOutcome::ConnectionLost:
      routing::OnFailed(*replica, routing::FailureKind::ConnectionLost, aNow);
      break;
    case AttemptOutcome::Discarded:
    case AttemptOutcome::Failed:
      routing::OnFailed(*replica, routing::FailureKind::InvalidResponse, aNow);
      break;
  }
  for (size_t index : routing::EjectOutliers(this->replicas, aNow)) {
    telemetry::Log(telemetry::Event::ServerEjected,
                   { { "server", this->replicas[index].name },
                     { "latency_ms", this->replicas[index].latencyMs } });
  }
}

void
Cell::HandleSearchResult(const PendingTaskPointer& aTask,
                         AttemptResult& aResult,
                         const std::string& aServer)
{
  PendingTask& task = *aTask;
  base::Instant now = base::Now();
  switch (aResult.outcome) {
    case AttemptOutcome::Answered: {
      this->context.quarantine.OnAnswered(task.fingerprint, now);
      bool complete = aResult.answer.shards.size() >= task.search.shards.size();
      if (complete) {
        this->FinishComplete(aTask, std::move(aResult.answer));
        return;
      }
      bool better = !task.partial || aResult.answer.shards.size() > task.partial->shards.size();
      if (better) {
        task.partial = std::move(aResult.answer);
      }
      this->Retry(aTask, true, model::Errc::CoverageTooLow);
      return;
    }
    case AttemptOutcome::Discarded:
      ++this->context.counters.discarded;
      telemetry::Log(telemetry::Event::AnswerDiscarded,
                     { { "server", aServer }, { "why", aResult.detail } });
      this->Retry(aTask, true, model::Errc::UpstreamFailed);
      return;
    case AttemptOutcome::NoSnapshot: {
      this->servers[aServer].missingSnapshots[task.search.snapshot] =
        now + kMissingSnapshotLifetime;
      task.serversWithoutSnapshot.push_back(aServer);
      this->Retry(aTask, false, model::Errc::NoSnapshot);
      return;
    }
    case AttemptOutcome::NotSent:
    case AttemptOutcome::ConnectFailed:
      this->Retry(aTask, false, model::Errc::NoReplica);
      return;
    case AttemptOutcome::DeadlinePassed:
    case AttemptOutcome::TimedOut:
      if (task.attemptsInFlight.empty()) {
        this->FinishFailed(aTask, model::Errc::DeadlinePassed);
      }
      return;
    case AttemptOutcome::Shed:
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::Failed:
    case AttemptOutcome::Aborted:
      this->Retry(aTask, true, ReasonOf(aResult.outcome));
      return;
  }
}

void
Cell::HandleServerLost(const PendingTaskPointer& aTask, const std::string& aServer)
{
  base::Instant now = base::Now();
  ++this->context.counters.serversLost;
  telemetry::Log(telemetry::Event::ServerLost,
                 { { "server", aServer }, { "request", aTask->search.requestId } });
  quarantine::QuarantineState quarantineState =
    this->context.quarantine.OnServerLost(aTask->fingerprint, aServer, aTask->isolated, now);
  if (quarantineState == quarantine::QuarantineState::Quarantined) {
    this->FinishFailed(aTask, model::Errc::Suspect);
    return;
  }
  aTask->isolated = true;
  if (aTask->attemptsInFlight.empty()) {
    this->Enqueue(aTask);
  }
}

void
Cell::HandleBookingResult(const PendingTaskPointer& aTask, const AttemptResult& aResult)
{
  PendingTask& task = *aTask;
  bool retryable = aResult.outcome == AttemptOutcome::ConnectFailed ||
                   aResult.outcome == AttemptOutcome::Shed ||
                   aResult.outcome == AttemptOutcome::NotSent;
  bool attemptsLeft = task.attempts < routing::kMaxAttempts && base::Now() < task.deadline;
  // A booking is sent to another server only while it is proven that no server has run it.
  if (retryable && attemptsLeft && !task.mayHaveRun) {
    this->Enqueue(aTask);
    return;
  }
  task.finished = true;
  model::BookingResult result;
  if (aResult.outcome == AttemptOutcome::Answered) {
    result = model::BookingResult{ .outcome = model::Outcome::Ran,
                                   .receipt = aResult.receipt,
                                   .error = std::nullopt };
  } else {
    result.outcome = task.mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun;
    result.error = ReasonOf(aResult.outcome);
  }
  task.booking->done(result);
}

void
Cell::Retry(const PendingTaskPointer& aTask, bool aUsesRetryBudget, model::Errc aReason)
{
  PendingTask& task = *aTask;
  if (!task.attemptsInFlight.empty()) {
    return; // Another attempt is in flight and may still be answered.
  }
  bool noServerHasSnapshot = task.serversWithoutSnapshot.size() >= this->replicas.size();
  bool triedAll = task.attempts >= this->replicas.size() + 1;
  bool outOfAttempts = aUsesRetryBudget ? task.attempts >= routing::kMaxAttempts : triedAll;
  bool expired = base::Now() >= task.deadline;
  if (noServerHasSnapshot || outOfAttempts || expired || !this->AnyServing()) {
    this->FinishFailed(aTask, expired ? model::Errc::DeadlinePassed : aReason);
    return;
  }
  if (aUsesRetryBudget) {
    if (!routing::TryWithdraw(this->retryBudget)) {
      this->FinishFailed(aTask, aReason);
      return;
    }
    ++this->context.counters.retries;
  }
  this->Enqueue(aTask);
}

void
Cell::FinishComplete(const PendingTaskPointer& aTask, model::AttemptResponse aAnswer)
{
  model::GroupResult answer{ .group = this->group,
                             .outcome = model::Outcome::Ran,
                             .shards = std::move(aAnswer.shards),
                             .error = std::nullopt,
                             .queueWait = aTask->queueWait };
  this->Finish(aTask, std::move(answer), std::move(aAnswer.hits));
}

void
Cell::FinishFailed(const PendingTaskPointer& aTask, model::Errc aReason)
{
  if (aTask->booking) {
    aTask->finished = true;
    model::BookingResult result;
    result.outcome = aTask->mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun;
    result.error = aReason;
    aTask->booking->done(result);
    return;
  }
  // A task that never got a slot has waited until now. A wait of zero would make overload look like
  // idleness to the admission controller.
  if (aTask->attempts == 0) {
    aTask->queueWait = base::Now() - aTask->arrived;
  }
  model::GroupResult answer{ .group = this->group,
                             .outcome =
                               aTask->mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun,
                             .shards = {},
                             .error = aReason,
                             .queueWait = aTask->queueWait };
  std::vector<model::Hit> hits;
  if (aTask->partial) {
    answer.outcome = model::Outcome::Ran;
    answer.shards = std::move(aTask->partial->shards);
    hits = std::move(aTask->partial->hits);
  }
  this->Finish(aTask, std::move(answer), std::move(hits));
}

void
Cell::Finish(const PendingTaskPointer& aTask,
             model::GroupResult aAnswer,
             std::vector<model::Hit> aHits)
{
  assert(!aTask->finished);
  aTask->finished = true;
  this->AbortRemainingAttempts(*aTask);
  if (aTask->search.canary) {
    this->ReleaseHeldTasks(aTask->fingerprint);
  }
  aTask->search.done(std::move(aAnswer), std::move(aHits));
}

void
Cell::ReleaseHeldTasks(quarantine::Fingerprint aFingerprint)
{
  auto entry = this->tasksHeldByCanary.find(aFingerprint);
  if (entry == this->tasksHeldByCanary.end()) {
    return;
  }
  std::vector<PendingTaskPointer> heldTasks = std::move(entry->second);
  this->tasksHeldByCanary.erase(entry);
  quarantine::QuarantineState quarantineState =
    this->context.quarantine.StateOf(aFingerprint, base::Now());
  for (const PendingTaskPointer& task : heldTasks) {
    task->search.canary = false;
    if (quarantineState == quarantine::QuarantineState::Quarantined) {
      this->FinishFailed(task, model::Errc::Suspect);
      continue;
    }
    task->isolated = quarantineState == quarantine::QuarantineState::Suspect;
    this->Enqueue(task);
  }
}

void
Cell::AbortRemainingAttempts(PendingTask& aTask)
{
  for (const std::shared_ptr<InFlightAttempt>& attempt : aTask.attemptsInFlight) {
    if (attempt->connection) {
      attempt->connection->Abort();
    }
  }
}

Cell::CanaryState
Cell::CanaryStateOf(const std::string& aRequestId, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto matches = [&](const PendingTaskPointer& aTask) {
    return !aTask->booking && aTask->search.requestId == aRequestId;
  };
  auto found = std::find_if(this->running.begin(), this->running.end(), matches);
  if (found != this->running.end() && !(*found)->attemptsInFlight.empty()) {
    if ((*found)->isolated) {
      return CanaryState::ServerLost;
    }
    bool longEnough = aNow - (*found)->attemptsInFlight.front()->sentAt >= kCanaryPassTime;
    return longEnough ? CanaryState::Passed : CanaryState::Pending;
  }
  if (std::any_of(this->isolatedTasks.begin(), this->isolatedTasks.end(), matches)) {
    return CanaryState::ServerLost;
  }
  bool queued = std::any_of(this->waiting.begin(), this->waiting.end(), [&](const auto& aEntry) {
    return matches(aEntry.second);
  });
  return queued ? CanaryState::Pending : CanaryState::Absent;
}

CellStatus
Cell::Status() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  CellStatus status{ .service = this->service,
                     .group = this->group,
                     .owner = this->role.owner,
                     .queued = this->waiting.size() + this->isolatedTasks.size(),
                     .inFlight = this->running.size(),
                     .replicas = this->replicas };
  return status;
}

std::optional<base::Instant>
Cell::IdleSince() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  bool idle = this->waiting.empty() && this->running.empty() && this->isolatedTasks.empty() &&
              this->tasksHeldByCanary.empty();
  return idle ? std::optional(this->lastActivity) : std::nullopt;
}

} // namespace sapphirewind::tier
