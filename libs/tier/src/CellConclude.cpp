#include <tier/Cell.h>

#include <algorithm>
#include <cassert>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kLacksLifetime = std::chrono::milliseconds(500);

model::Errc
ReasonOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Shed:
      return model::Errc::Overloaded;
    case AttemptEnd::NoSnapshot:
      return model::Errc::NoSnapshot;
    case AttemptEnd::TooLate:
    case AttemptEnd::TimedOut:
      return model::Errc::DeadlinePassed;
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::NotSent:
      return model::Errc::NoReplica;
    case AttemptEnd::Answered:
    case AttemptEnd::Discarded:
    case AttemptEnd::Broken:
    case AttemptEnd::Aborted:
    case AttemptEnd::Failed:
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
Cell::Conclude(Dispatch& aDispatch, AttemptResult aResult, bool aServerGone)
{
  base::Instant now = base::Now();
  this->lastWork = now;
  const LiveAttempt& attempt = *aDispatch.attempt;
  if (this->aloneServer == attempt.server && aDispatch.ticket->alone) {
    if (routing::Replica* reserved = this->FindReplica(attempt.server)) {
      reserved->reserved = false;
    }
    this->aloneServer.clear();
  }
  this->NoteAtReplica(attempt, aResult, now);
  aDispatch.pool->Release(std::move(aDispatch.attempt->connection), now);
  Ticket& ticket = *aDispatch.ticket;
  std::erase(ticket.live, aDispatch.attempt);
  ticket.mayHaveRun = ticket.mayHaveRun || !ProvesNotRun(aResult.end);
  if (ticket.live.empty()) {
    std::erase(this->running, aDispatch.ticket);
  }
  if (ticket.finished) {
    return;
  }
  if (aResult.end == AttemptEnd::NotSent) {
    std::erase(ticket.tried, attempt.server);
    --ticket.attempts;
    // The next choice must see what was just learnt, not what was looked up a moment before.
    this->leavingCheckedAt = base::Instant{};
  }
  if (ticket.booking) {
    this->ConcludeBooking(aDispatch.ticket, aResult);
  } else if (aServerGone) {
    this->ConcludeLost(aDispatch.ticket, attempt.server);
  } else {
    this->ConcludeSearch(aDispatch.ticket, aResult, attempt.server);
  }
}

void
Cell::NoteAtReplica(const LiveAttempt& aAttempt, const AttemptResult& aResult, base::Instant aNow)
{
  if (aResult.draining && this->context.leaving.Note(aAttempt.server, kLeavingTime, aNow)) {
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
  switch (aResult.end) {
    case AttemptEnd::Answered:
      routing::OnAnswered(*replica, aResult.elapsed, aNow);
      this->latency.Add(aResult.elapsed);
      break;
    case AttemptEnd::Shed:
      routing::OnShed(*replica, aNow, base::ThreadRandom());
      telemetry::Log(telemetry::Event::ServerShed, { { "server", aAttempt.server } });
      break;
    case AttemptEnd::NoSnapshot:
    case AttemptEnd::TooLate:
    case AttemptEnd::NotSent:
      routing::OnRefused(*replica);
      break;
    case AttemptEnd::TimedOut:
    case AttemptEnd::Aborted:
      routing::OnAbandoned(*replica, aResult.elapsed);
      break;
    case AttemptEnd::ConnectFailed:
      routing::OnFailed(*replica, routing::FailureKind::ConnectFailed, aNow);
      break;
    case AttemptEnd::Broken:
      routing::OnFailed(*replica, routing::FailureKind::ConnectionLost, aNow);
      break;
    case AttemptEnd::Discarded:
    case AttemptEnd::Failed:
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
Cell::ConcludeSearch(const TicketPointer& aTicket,
                     AttemptResult& aResult,
                     const std::string& aServer)
{
  Ticket& ticket = *aTicket;
  base::Instant now = base::Now();
  switch (aResult.end) {
    case AttemptEnd::Answered: {
      this->context.quarantine.OnAnswered(ticket.fingerprint, now);
      bool whole = aResult.answer.shards.size() >= ticket.search.shards.size();
      if (whole) {
        this->FinishWhole(aTicket, std::move(aResult.answer));
        return;
      }
      bool better = !ticket.partial || aResult.answer.shards.size() > ticket.partial->shards.size();
      if (better) {
        ticket.partial = std::move(aResult.answer);
      }
      this->Retry(aTicket, true, model::Errc::CoverageTooLow);
      return;
    }
    case AttemptEnd::Discarded:
      ++this->context.counters.discarded;
      telemetry::Log(telemetry::Event::AnswerDiscarded,
                     { { "server", aServer }, { "why", aResult.detail } });
      this->Retry(aTicket, true, model::Errc::UpstreamFailed);
      return;
    case AttemptEnd::NoSnapshot: {
      this->servers[aServer].lacks[ticket.search.snapshot] = now + kLacksLifetime;
      ticket.lacking.push_back(aServer);
      this->Retry(aTicket, false, model::Errc::NoSnapshot);
      return;
    }
    case AttemptEnd::NotSent:
    case AttemptEnd::ConnectFailed:
      this->Retry(aTicket, false, model::Errc::NoReplica);
      return;
    case AttemptEnd::TooLate:
    case AttemptEnd::TimedOut:
      if (ticket.live.empty()) {
        this->FinishFailed(aTicket, model::Errc::DeadlinePassed);
      }
      return;
    case AttemptEnd::Shed:
    case AttemptEnd::Broken:
    case AttemptEnd::Failed:
    case AttemptEnd::Aborted:
      this->Retry(aTicket, true, ReasonOf(aResult.end));
      return;
  }
}

void
Cell::ConcludeLost(const TicketPointer& aTicket, const std::string& aServer)
{
  base::Instant now = base::Now();
  ++this->context.counters.serversLost;
  telemetry::Log(telemetry::Event::ServerLost,
                 { { "server", aServer }, { "request", aTicket->search.requestId } });
  quarantine::QuarantineState standing =
    this->context.quarantine.OnServerLost(aTicket->fingerprint, aServer, aTicket->alone, now);
  if (standing == quarantine::QuarantineState::Quarantined) {
    this->FinishFailed(aTicket, model::Errc::Suspect);
    return;
  }
  aTicket->alone = true;
  if (aTicket->live.empty()) {
    this->Enqueue(aTicket);
  }
}

void
Cell::ConcludeBooking(const TicketPointer& aTicket, const AttemptResult& aResult)
{
  Ticket& ticket = *aTicket;
  bool retryable = aResult.end == AttemptEnd::ConnectFailed || aResult.end == AttemptEnd::Shed ||
                   aResult.end == AttemptEnd::NotSent;
  bool moreServers = ticket.attempts < routing::kMaxAttempts && base::Now() < ticket.deadline;
  // A booking goes on to another server only while it is proven that none has run it.
  if (retryable && moreServers && !ticket.mayHaveRun) {
    this->Enqueue(aTicket);
    return;
  }
  ticket.finished = true;
  model::BookingResult result;
  if (aResult.end == AttemptEnd::Answered) {
    result = model::BookingResult{ .outcome = model::Outcome::Ran,
                                   .receipt = aResult.receipt,
                                   .error = std::nullopt };
  } else {
    result.outcome = ticket.mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun;
    result.error = ReasonOf(aResult.end);
  }
  ticket.booking->done(result);
}

void
Cell::Retry(const TicketPointer& aTicket, bool aSpendsBudget, model::Errc aReason)
{
  Ticket& ticket = *aTicket;
  if (!ticket.live.empty()) {
    return; // The other attempt may still answer.
  }
  bool nobodyHasIt = ticket.lacking.size() >= this->replicas.size();
  bool triedAll = ticket.attempts >= this->replicas.size() + 1;
  bool outOfAttempts = aSpendsBudget ? ticket.attempts >= routing::kMaxAttempts : triedAll;
  bool late = base::Now() >= ticket.deadline;
  if (nobodyHasIt || outOfAttempts || late || !this->AnyServing()) {
    this->FinishFailed(aTicket, late ? model::Errc::DeadlinePassed : aReason);
    return;
  }
  if (aSpendsBudget) {
    if (!routing::TryWithdraw(this->retryBudget)) {
      this->FinishFailed(aTicket, aReason);
      return;
    }
    ++this->context.counters.retries;
  }
  this->Enqueue(aTicket);
}

void
Cell::FinishWhole(const TicketPointer& aTicket, model::AttemptResponse aAnswer)
{
  model::GroupResult answer{ .group = this->group,
                             .outcome = model::Outcome::Ran,
                             .shards = std::move(aAnswer.shards),
                             .error = std::nullopt,
                             .queueWait = aTicket->queueWait };
  this->Finish(aTicket, std::move(answer), std::move(aAnswer.hits));
}

void
Cell::FinishFailed(const TicketPointer& aTicket, model::Errc aReason)
{
  if (aTicket->booking) {
    aTicket->finished = true;
    model::BookingResult result;
    result.outcome = aTicket->mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun;
    result.error = aReason;
    aTicket->booking->done(result);
    return;
  }
  // What never got a slot waited until now; told otherwise, overload would look like idleness.
  if (aTicket->attempts == 0) {
    aTicket->queueWait = base::Now() - aTicket->arrived;
  }
  model::GroupResult answer{ .group = this->group,
                             .outcome = aTicket->mayHaveRun ? model::Outcome::Unknown
                                                            : model::Outcome::NotRun,
                             .shards = {},
                             .error = aReason,
                             .queueWait = aTicket->queueWait };
  std::vector<model::Hit> hits;
  if (aTicket->partial) {
    answer.outcome = model::Outcome::Ran;
    answer.shards = std::move(aTicket->partial->shards);
    hits = std::move(aTicket->partial->hits);
  }
  this->Finish(aTicket, std::move(answer), std::move(hits));
}

void
Cell::Finish(const TicketPointer& aTicket,
             model::GroupResult aAnswer,
             std::vector<model::Hit> aHits)
{
  assert(!aTicket->finished);
  aTicket->finished = true;
  this->AbortOthers(*aTicket);
  if (aTicket->search.canary) {
    this->ReleaseCanary(aTicket->fingerprint);
  }
  aTicket->search.done(std::move(aAnswer), std::move(aHits));
}

void
Cell::ReleaseCanary(quarantine::Fingerprint aFingerprint)
{
  auto entry = this->canaries.find(aFingerprint);
  if (entry == this->canaries.end()) {
    return;
  }
  std::vector<TicketPointer> held = std::move(entry->second);
  this->canaries.erase(entry);
  quarantine::QuarantineState standing =
    this->context.quarantine.StandingOf(aFingerprint, base::Now());
  for (const TicketPointer& ticket : held) {
    ticket->search.canary = false;
    if (standing == quarantine::QuarantineState::Quarantined) {
      this->FinishFailed(ticket, model::Errc::Suspect);
      continue;
    }
    ticket->alone = standing == quarantine::QuarantineState::Suspect;
    this->Enqueue(ticket);
  }
}

void
Cell::AbortOthers(Ticket& aTicket)
{
  for (const std::shared_ptr<LiveAttempt>& attempt : aTicket.live) {
    if (attempt->connection) {
      attempt->connection->Abort();
    }
  }
}

Cell::Survival
Cell::SurvivalOf(const std::string& aRequestId, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto isIt = [&](const TicketPointer& aTicket) {
    return !aTicket->booking && aTicket->search.requestId == aRequestId;
  };
  auto found = std::find_if(this->running.begin(), this->running.end(), isIt);
  if (found != this->running.end() && !(*found)->live.empty()) {
    if ((*found)->alone) {
      return Survival::Lost;
    }
    bool longEnough = aNow - (*found)->live.front()->sentAt >= kSurvivalTime;
    return longEnough ? Survival::Survived : Survival::Waiting;
  }
  if (std::any_of(this->aloneWaiting.begin(), this->aloneWaiting.end(), isIt)) {
    return Survival::Lost;
  }
  bool queued = std::any_of(this->waiting.begin(), this->waiting.end(), [&](const auto& aEntry) {
    return isIt(aEntry.second);
  });
  return queued ? Survival::Waiting : Survival::Absent;
}

CellStatus
Cell::Status() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  CellStatus status{ .service = this->service,
                     .group = this->group,
                     .owner = this->role.owner,
                     .queued = this->waiting.size() + this->aloneWaiting.size(),
                     .inFlight = this->running.size(),
                     .replicas = this->replicas };
  return status;
}

std::optional<base::Instant>
Cell::IdleSince() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  bool idle = this->waiting.empty() && this->running.empty() && this->aloneWaiting.empty() &&
              this->canaries.empty();
  return idle ? std::optional(this->lastWork) : std::nullopt;
}

} // namespace sapphirewind::tier
