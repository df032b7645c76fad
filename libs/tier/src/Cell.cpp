#include <tier/Cell.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kLongestSleep = std::chrono::milliseconds(200);
constexpr base::Duration kBlockedSleep = std::chrono::milliseconds(2);
constexpr base::Duration kCancelTimeout = std::chrono::milliseconds(200);
constexpr size_t kMostWorkers = 96;

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
  , lastWork(base::Now())
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
  this->wantedWorkers = std::min(wanted, kMostWorkers);
  while (this->workers.size() < this->wantedWorkers) {
    this->workers.emplace_back([this] { this->Work(); });
  }
}

void
Cell::Submit(SearchTask aTask)
{
  auto ticket = std::make_shared<Ticket>();
  ticket->policy = aTask.policy;
  ticket->fingerprint = quarantine::FingerprintOf(aTask.service, aTask.query);
  ticket->arrived = base::Now();
  ticket->deadline = aTask.deadline;
  ticket->search = std::move(aTask);
  std::lock_guard<std::mutex> lock(this->mutex);
  ticket->id = this->nextId++;
  quarantine::QuarantineState standing =
    this->context.quarantine.StandingOf(ticket->fingerprint, ticket->arrived);
  if (standing == quarantine::QuarantineState::Quarantined) {
    this->FinishFailed(ticket, model::Errc::Suspect);
    return;
  }
  ticket->alone = standing == quarantine::QuarantineState::Suspect;
  if (ticket->search.canary) {
    auto [entry, first] = this->canaries.try_emplace(ticket->fingerprint);
    if (!first) {
      entry->second.push_back(ticket);
      return;
    }
  }
  this->Enqueue(ticket);
}

void
Cell::Submit(BookingWork aWork)
{
  auto ticket = std::make_shared<Ticket>();
  ticket->policy = aWork.task.policy;
  ticket->arrived = base::Now();
  ticket->deadline = aWork.deadline;
  ticket->booking = std::make_unique<BookingWork>(std::move(aWork));
  std::lock_guard<std::mutex> lock(this->mutex);
  ticket->id = this->nextId++;
  this->Enqueue(ticket);
}

void
Cell::Enqueue(const TicketPointer& aTicket)
{
  this->lastWork = base::Now();
  if (aTicket->alone) {
    this->aloneWaiting.push_back(aTicket);
  } else {
    this->waiting[aTicket->id] = aTicket;
    this->queue.Push(admission::WorkItem{ .id = aTicket->id,
                                          .policy = aTicket->policy,
                                          .arrived = aTicket->arrived,
                                          .deadline = aTicket->deadline });
  }
  this->changed.notify_one();
}

void
Cell::Work()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    base::Instant now = base::Now();
    std::optional<Dispatch> dispatch = this->NextDispatch(now);
    if (dispatch) {
      // The next worker takes over the watch for timers and further work.
      this->changed.notify_one();
      lock.unlock();
      AttemptResult result = this->Run(*dispatch);
      bool gone = result.end == AttemptEnd::Broken && IsGone(dispatch->endpoint);
      lock.lock();
      this->Conclude(*dispatch, std::move(result), gone);
      continue;
    }
    bool empty = this->waiting.empty() && this->running.empty() && this->aloneWaiting.empty();
    if (this->stopping && empty) {
      this->changed.notify_all();
      return;
    }
    // One worker sleeps on the clock; the others sleep until there is work.
    if (this->timerTaken) {
      this->changed.wait(lock);
      continue;
    }
    this->timerTaken = true;
    this->changed.wait_until(lock, this->NextWake(now));
    this->timerTaken = false;
  }
}

base::Instant
Cell::NextWake(base::Instant aNow) const
{
  if (!this->waiting.empty() || !this->aloneWaiting.empty()) {
    return aNow + kBlockedSleep;
  }
  base::Instant wake = aNow + kLongestSleep;
  base::Duration delay = this->latency.Value();
  bool hedging = this->context.experiment.hedging && delay.count() > 0;
  for (const TicketPointer& ticket : this->running) {
    if (!hedging || ticket->hedged || ticket->live.empty()) {
      continue;
    }
    // A hedge that is due and was not sent lacks a slot or budget: there is no hurry to look again.
    base::Instant due = ticket->live.front()->sentAt + delay;
    wake = std::min(wake, due > aNow ? due : aNow + kBlockedSleep);
  }
  return wake;
}

void
Cell::DropLate(base::Instant aNow)
{
  for (const admission::WorkItem& item :
       this->queue.DropLate(aNow, [](model::Rank) { return base::Duration(0); })) {
    TicketPointer ticket = this->waiting.at(item.id);
    this->waiting.erase(item.id);
    ++this->context.counters.droppedEarly;
    this->FinishFailed(ticket, model::Errc::DeadlinePassed);
  }
  std::vector<TicketPointer> late;
  std::erase_if(this->aloneWaiting, [&](const TicketPointer& aTicket) {
    bool isLate = aTicket->deadline <= aNow;
    if (isLate) {
      late.push_back(aTicket);
    }
    return isLate;
  });
  for (const TicketPointer& ticket : late) {
    this->FinishFailed(ticket, model::Errc::DeadlinePassed);
  }
}

std::optional<Cell::Dispatch>
Cell::NextDispatch(base::Instant aNow)
{
  this->RefreshLeaving(aNow);
  this->DropLate(aNow);
  if (std::optional<Dispatch> dispatch = this->NextAlone(aNow)) {
    return dispatch;
  }
  // A hedge goes before waiting work that ranks lower; NextHedge looks at what waits of its own
  // rank.
  if (std::optional<Dispatch> dispatch = this->NextHedge(aNow)) {
    return dispatch;
  }
  return this->NextQueued(aNow);
}

std::optional<size_t>
Cell::PickFor(const Ticket& aTicket, base::Instant aNow)
{
  base::Random& random = base::ThreadRandom();
  if (this->context.experiment.replica == config::ReplicaChoice::Random) {
    return routing::PickRandomReplica(this->replicas, random);
  }
  std::vector<std::string> tried = aTicket.tried;
  if (!aTicket.booking) {
    for (const auto& [name, state] : this->servers) {
      auto lack = state.lacks.find(aTicket.search.snapshot);
      if (lack != state.lacks.end() && aNow < lack->second) {
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
  auto mayServe = [&](const admission::WorkItem& aItem, bool) {
    replica = this->PickFor(*this->waiting.at(aItem.id), aNow);
    return replica.has_value();
  };
  std::optional<admission::WorkItem> item = this->queue.PopIf(aNow, mayServe);
  if (!item) {
    return std::nullopt;
  }
  TicketPointer ticket = this->waiting.at(item->id);
  this->waiting.erase(item->id);
  if (ticket->attempts == 0) {
    ticket->queueWait = aNow - ticket->arrived;
    ++this->context.counters.firstAttempts;
    routing::Deposit(this->hedgeBudget);
    routing::Deposit(this->retryBudget);
  }
  return this->BeginAttempt(std::move(ticket), *replica, aNow, false);
}

/// Gives the reserved server back when the suspect it was meant for has ended while waiting.
void
Cell::ReleaseReserved()
{
  bool inUse = std::any_of(this->running.begin(),
                           this->running.end(),
                           [](const TicketPointer& aTicket) { return aTicket->alone; });
  routing::Replica* reserved = inUse ? nullptr : this->FindReplica(this->aloneServer);
  if (reserved) {
    reserved->reserved = false;
    this->aloneServer.clear();
  }
}

std::optional<Cell::Dispatch>
Cell::NextAlone(base::Instant aNow)
{
  if (this->aloneWaiting.empty()) {
    this->ReleaseReserved();
    return std::nullopt;
  }
  TicketPointer ticket = this->aloneWaiting.front();
  if (this->aloneServer.empty()) {
    // Room does not matter here: the server is reserved first, then waited for.
    std::vector<routing::Replica> empty = this->replicas;
    for (routing::Replica& replica : empty) {
      replica.inFlight = 0;
    }
    std::optional<size_t> pick =
      routing::PickReplica(empty, ticket->tried, aNow, base::ThreadRandom());
    if (!pick) {
      return std::nullopt;
    }
    this->replicas[*pick].reserved = true;
    this->aloneServer = this->replicas[*pick].name;
  }
  routing::Replica* reserved = this->FindReplica(this->aloneServer);
  if (!reserved) {
    this->aloneServer.clear();
    return std::nullopt;
  }
  if (reserved->inFlight > 0) {
    return std::nullopt;
  }
  this->aloneWaiting.erase(this->aloneWaiting.begin());
  auto index = static_cast<size_t>(reserved - this->replicas.data());
  return this->BeginAttempt(std::move(ticket), index, aNow, false);
}

std::optional<Cell::Dispatch>
Cell::NextHedge(base::Instant aNow)
{
  if (!this->context.experiment.hedging) {
    return std::nullopt;
  }
  base::Duration delay = this->latency.Value();
  for (const TicketPointer& ticket : this->running) {
    bool eligible = !ticket->finished && !ticket->hedged && !ticket->booking && !ticket->alone &&
                    !ticket->search.canary && ticket->live.size() == 1;
    if (!eligible) {
      continue;
    }
    routing::HedgeInput input{ .sentAt = ticket->live.front()->sentAt,
                               .deadline = ticket->deadline,
                               .delay = delay,
                               .queueNotEmpty = this->queue.SizeAtOrAbove(ticket->policy.rank) > 0,
                               .budgetLeft = this->hedgeBudget.tokens >= 1.0 };
    if (!routing::HedgeIsDue(input, aNow)) {
      continue;
    }
    std::optional<size_t> replica = this->PickFor(*ticket, aNow);
    bool other = replica && this->replicas[*replica].name != ticket->live.front()->server;
    if (!other || !routing::TryWithdraw(this->hedgeBudget)) {
      continue;
    }
    ticket->hedged = true;
    ++this->context.counters.hedges;
    return this->BeginAttempt(ticket, *replica, aNow, true);
  }
  return std::nullopt;
}

Cell::Dispatch
Cell::BeginAttempt(TicketPointer aTicket, size_t aReplica, base::Instant aNow, bool aHedge)
{
  routing::Replica& replica = this->replicas[aReplica];
  ServerState& state = this->servers.at(replica.name);
  routing::OnSent(replica);
  ++aTicket->attempts;
  aTicket->tried.push_back(replica.name);
  auto attempt = std::make_shared<LiveAttempt>();
  attempt->id = base::NewId(base::ThreadRandom());
  attempt->server = replica.name;
  attempt->sentAt = aNow;
  attempt->hedge = aHedge;
  attempt->connection = state.pool->Acquire(aNow, aTicket->booking != nullptr);
  aTicket->live.push_back(attempt);
  if (aTicket->live.size() == 1) {
    this->running.push_back(aTicket);
  }
  model::AttemptRequest request;
  if (!aTicket->booking) {
    request = model::AttemptRequest{ .attemptId = attempt->id,
                                     .requestId = aTicket->search.requestId,
                                     .group = this->group,
                                     .snapshot = aTicket->search.snapshot,
                                     .shards = aTicket->search.shards,
                                     .query = aTicket->search.query,
                                     .top = aTicket->search.top,
                                     .remaining = aTicket->deadline - aNow };
  }
  return Dispatch{ .ticket = std::move(aTicket),
                   .attempt = std::move(attempt),
                   .pool = state.pool,
                   .endpoint = state.endpoint,
                   .request = std::move(request),
                   .epoch = this->context.freshness.Epoch() };
}

AttemptResult
Cell::Run(Dispatch& aDispatch)
{
  // After a freeze the choice of server may be out of date: nothing is sent, the ticket goes back.
  bool waited = this->context.freshness.Pass();
  if (waited || aDispatch.epoch != this->context.freshness.Epoch()) {
    return AttemptResult{ .end = AttemptEnd::NotSent, .detail = "refreshed after a freeze" };
  }
  base::Duration remaining = aDispatch.ticket->deadline - base::Now();
  if (remaining.count() <= 0) {
    return AttemptResult{ .end = AttemptEnd::TooLate, .detail = "deadline passed before sending" };
  }
  net::Connection& connection = *aDispatch.attempt->connection;
  AttemptResult result =
    aDispatch.ticket->booking
      ? SendBooking(connection, aDispatch.ticket->booking->task, aDispatch.attempt->id, remaining)
      : SendSearch(connection, aDispatch.request, remaining);
  if (result.end == AttemptEnd::Aborted) {
    // The slot stays counted until the server knows that nobody waits.
    ++this->context.counters.cancelled;
    std::unique_ptr<net::Connection> cancel = aDispatch.pool->Acquire(base::Now());
    SendCancel(*cancel, aDispatch.attempt->id, kCancelTimeout);
    aDispatch.pool->Release(std::move(cancel), base::Now());
  }
  return result;
}

} // namespace sapphirewind::tier
