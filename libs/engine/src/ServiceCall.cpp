#include <engine/ServiceCall.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <dispatch/ExtraAttempt.h>
#include <dispatch/Gather.h>
#include <dispatch/Restriction.h>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// Interval of retries after no server had capacity or the extra-attempt budget was exhausted,
/// about one short service time.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(10);
/// No attempt is started with less time than this until the deadline.
constexpr base::Duration kMinRemainingTime = std::chrono::milliseconds(3);
/// How long an attempt may continue after the request ended: longer than a usual pause of a server,
/// so that its latency is still recorded.
constexpr base::Duration kDetachedGracePeriod = std::chrono::milliseconds(350);

} // namespace

CrashGuard::Loss
MakeLoss(const IncomingRequest& aRequest, std::vector<std::shared_ptr<UpstreamServer>> aLost)
{
  return { .requestId = aRequest.meta.id,
           .fingerprint = aRequest.fingerprint,
           .lostServers = std::move(aLost),
           .ranIsolated = aRequest.isSuspect };
}

ServiceCall::ServiceCall(Options aOptions)
  : options(std::move(aOptions))
  , serviceTime(this->options.context.upstreams.ServiceTimeOf(this->options.request->route->name))
{
}

void
ServiceCall::Start(base::Instant aNow)
{
  UpstreamPool& upstreams = this->options.context.upstreams;
  dispatch::CountRequest(
    upstreams.BudgetOf(this->options.service), upstreams.ExtraAttemptLimits(), aNow);
  this->sendDue = true;
  this->Advance(aNow);
}

void
ServiceCall::Advance(base::Instant aNow)
{
  if (this->state != State::Pending) {
    return;
  }
  bool hedgeDue = !this->sendDue && aNow >= this->hedgeAt;
  if (this->sendDue || hedgeDue) {
    SendResult sent = this->TrySend(aNow);
    if (sent == SendResult::Sent) {
      this->hedges += hedgeDue ? 1 : 0;
      this->options.context.metrics.Count(Counter::Hedge, hedgeDue ? 1 : 0);
      this->sendDue = false;
    } else if (sent == SendResult::NotAllowed) {
      this->sendDue = false;
      this->hedgeAt = base::Instant::max();
      if (this->openAttempts.empty()) {
        this->state = State::Failed;
      }
    } else if (this->openAttempts.empty() &&
               !this->MayHaveCapacity(aNow, this->UsefulUntil(aNow))) {
      this->state = State::Failed;
    }
  }
  if (this->state == State::Failed) {
    this->nextDue = base::Instant::max();
    return;
  }
  bool retryPending = this->sendDue || aNow >= this->hedgeAt;
  this->nextDue = retryPending ? aNow + kRetryInterval : this->hedgeAt;
}

ServiceCall::SendResult
ServiceCall::TrySend(base::Instant aNow)
{
  const directory::Route& route = *this->options.request->route;
  bool mayRetrySameServer =
    std::any_of(this->triedServers.begin(),
                this->triedServers.end(),
                [](const TriedServer& aTried) { return aTried.refusedAt.has_value(); });
  bool attemptsExhausted = this->triedServers.size() >= std::max(1U, route.maxAttempts);
  bool mayCrashAnother = this->options.request->isSuspect && this->history.mayHaveExecuted;
  if ((attemptsExhausted && !mayRetrySameServer) || mayCrashAnother ||
      !dispatch::MayRetry(this->history, route.idempotency) ||
      this->options.request->deadline - aNow < kMinRemainingTime) {
    return SendResult::NotAllowed;
  }
  std::shared_ptr<UpstreamServer> server = this->ChooseServer(aNow);
  if (!server) {
    return SendResult::Deferred;
  }
  if (dispatch::IsExtraAttempt(this->history) && !this->AdmitExtraAttempt(*server, aNow)) {
    ++this->withheldAttempts;
    return SendResult::Deferred;
  }
  this->StartAttempt(server, aNow);
  return SendResult::Sent;
}

bool
ServiceCall::AdmitExtraAttempt(const UpstreamServer& aServer, base::Instant aNow)
{
  dispatch::AttemptBudget& budget = this->options.context.upstreams.BudgetOf(this->options.service);
  dispatch::AttemptLimits limits = this->options.context.upstreams.ExtraAttemptLimits();
  dispatch::ExtraAttempt extra{ .expected = dispatch::ExpectedLatency(
                                  aServer.State(), *this->serviceTime, aNow),
                                .answerBy = this->options.answerBy,
                                .remainingBudget = dispatch::RemainingBudget(budget, limits, aNow),
                                .shortfall = this->shortfall };
  if (!dispatch::ShouldSendExtraAttempt(extra, aNow)) {
    return false;
  }
  if (!dispatch::TryWithdraw(budget, limits, aNow)) {
    this->options.context.metrics.Count(Counter::BudgetExhausted);
    return false;
  }
  return true;
}

bool
ServiceCall::IsExcluded(const UpstreamServer& aServer, base::Instant aNow) const
{
  auto tried =
    std::find_if(this->triedServers.begin(),
                 this->triedServers.end(),
                 [&](const TriedServer& aTried) { return aTried.server.get() == &aServer; });
  if (tried == this->triedServers.end()) {
    // The route limits the number of servers that one request is sent to.
    return this->triedServers.size() >= std::max(1U, this->options.request->route->maxAttempts);
  }
  return !tried->refusedAt || aNow - *tried->refusedAt < kRetryInterval;
}

bool
ServiceCall::HasOnTimeAttempt(base::Instant aNow) const
{
  return !this->openAttempts.empty() && aNow < this->hedgeAt;
}

bool
ServiceCall::MayHaveCapacity(base::Instant aNow, base::Instant aBefore) const
{
  const UpstreamPool::Servers& servers =
    this->options.context.upstreams.ServersOf(this->options.service);
  bool allDraining = true;
  for (const auto& server : servers) {
    server->Refresh(aNow);
    if (dispatch::MayHaveCapacity(server->State(), aNow, aBefore)) {
      return true;
    }
    dispatch::Restriction restriction = dispatch::RestrictionOf(server->State(), aNow);
    allDraining = allDraining && restriction == dispatch::Restriction::Draining;
  }
  // Servers that have not registered yet may do so in time.
  return allDraining;
}

base::Instant
ServiceCall::UsefulUntil(base::Instant aNow) const
{
  return aNow < this->options.answerBy ? this->options.answerBy : this->options.request->deadline;
}

base::Instant
ServiceCall::AvailableAt(base::Instant aNow) const
{
  std::optional<base::Instant> earliest;
  for (const auto& server : this->options.context.upstreams.ServersOf(this->options.service)) {
    dispatch::Restriction restriction = dispatch::RestrictionOf(server->State(), aNow);
    bool isHeld = restriction == dispatch::Restriction::Held;
    if (dispatch::IsOutOfService(restriction)) {
      continue;
    }
    base::Instant at = isHeld ? server->State().statement.hold->until : aNow;
    earliest = std::min(earliest.value_or(at), at);
  }
  return earliest.value_or(aNow);
}

std::shared_ptr<UpstreamServer>
ServiceCall::ChooseServer(base::Instant aNow)
{
  const UpstreamPool::Servers& servers =
    this->options.context.upstreams.ServersOf(this->options.service);
  std::vector<const dispatch::Upstream*> states;
  std::vector<size_t> excludedIndexes;
  for (size_t index = 0; index < servers.size(); ++index) {
    servers[index]->Refresh(aNow);
    states.push_back(&servers[index]->State());
    if (this->IsExcluded(*servers[index], aNow)) {
      excludedIndexes.push_back(index);
    }
  }
  std::optional<size_t> chosen = dispatch::ChooseUpstream(
    states, excludedIndexes, *this->serviceTime, aNow, this->options.context.random);
  return chosen ? servers[*chosen] : nullptr;
}

void
ServiceCall::StartAttempt(const std::shared_ptr<UpstreamServer>& aServer, base::Instant aNow)
{
  const IncomingRequest& incoming = *this->options.request;
  bool idempotent = incoming.route->idempotency == directory::Idempotency::Idempotent;
  dispatch::OnAttemptStarted(this->history);
  auto self = this->shared_from_this();
  auto attemptRef = std::make_shared<std::weak_ptr<Attempt>>();
  base::Duration expected = dispatch::ExpectedLatency(aServer->State(), *this->serviceTime, aNow);
  this->RecordStart(aServer, expected, aNow);
  std::shared_ptr<Attempt> attempt =
    aServer->Send(this->MakeRequest(),
                  this->serviceTime,
                  idempotent ? UpstreamServer::ConnectionPolicy::ReuseIdle
                             : UpstreamServer::ConnectionPolicy::RequireNew,
                  [self, attemptRef](ExchangeResult&& aResult) {
                    if (auto ended = attemptRef->lock()) {
                      self->OnEnd(ended, std::move(aResult));
                    }
                  });
  *attemptRef = attempt;
  this->options.context.metrics.Count(Counter::UpstreamSend);
  this->openAttempts.push_back(attempt);
  this->hedgeAt = base::Instant::max();
  bool mayHedge =
    idempotent && !incoming.isSuspect && this->triedServers.size() < incoming.route->maxAttempts;
  if (mayHedge) {
    base::Duration another = this->ExpectedLatencyOfAnother(aNow).value_or(expected);
    this->hedgeAt = aNow + dispatch::HedgeDelay({ .expectedFirst = expected,
                                                  .expectedSecond = another,
                                                  .untilAnswer = this->options.answerBy - aNow });
  }
}

void
ServiceCall::RecordStart(const std::shared_ptr<UpstreamServer>& aServer,
                         base::Duration aExpected,
                         base::Instant aNow)
{
  auto known = std::find_if(this->triedServers.begin(),
                            this->triedServers.end(),
                            [&](const TriedServer& aTried) { return aTried.server == aServer; });
  if (known == this->triedServers.end()) {
    this->triedServers.push_back({ .server = aServer, .firstSentAt = aNow, .expected = aExpected });
    return;
  }
  known->refusedAt.reset();
  known->outcome.reset();
}

std::optional<base::Duration>
ServiceCall::ExpectedLatencyOfAnother(base::Instant aNow)
{
  std::shared_ptr<UpstreamServer> other = this->ChooseServer(aNow);
  if (!other) {
    return std::nullopt;
  }
  return dispatch::ExpectedLatency(other->State(), *this->serviceTime, aNow);
}

UpstreamRequest
ServiceCall::MakeRequest() const
{
  const IncomingRequest& incoming = *this->options.request;
  auto message = std::make_shared<HttpRequest>(*incoming.message);
  message->version(11);
  message->keep_alive(true);
  return { .message = std::move(message), .id = incoming.meta.id, .deadline = incoming.deadline };
}

void
ServiceCall::OnEnd(const std::shared_ptr<Attempt>& aAttempt, ExchangeResult&& aResult)
{
  std::erase(this->openAttempts, aAttempt);
  bool isPart = aResult.status / 100 == 2;
  if (this->options.request->route->IsQuery() && !isPart &&
      aResult.outcome == dispatch::AttemptOutcome::Answered) {
    aResult.outcome = dispatch::AttemptOutcome::ServerError;
  }
  dispatch::OnAttemptEnded(this->history, aResult.outcome);
  this->RecordEnd(*aAttempt->Server(), aResult.outcome);
  if (this->state != State::Pending) {
    return;
  }
  bool answered = aResult.outcome == dispatch::AttemptOutcome::Answered;
  if (!answered) {
    this->options.context.metrics.Count(Counter::AttemptFailed);
    telemetry::Log(telemetry::Event::AttemptFailed,
                   { { "request", this->options.request->meta.id },
                     { "service", this->options.service },
                     { "server", aAttempt->Server()->Description().id },
                     { "attempt", this->history.sent },
                     { "end", dispatch::NameOf(aResult.outcome) },
                     { "status", aResult.status },
                     { "why", aResult.cause } });
  }
  if (answered || aResult.outcome == dispatch::AttemptOutcome::ServerError) {
    this->result = std::move(aResult);
    this->hasResult = true;
  }
  if (answered) {
    this->Complete(State::Answered);
    return;
  }
  this->sendDue = true;
  this->nextDue = base::Now();
  this->options.onChange();
}

void
ServiceCall::RecordEnd(const UpstreamServer& aServer, dispatch::AttemptOutcome aOutcome)
{
  for (TriedServer& tried : this->triedServers) {
    if (tried.server.get() != &aServer) {
      continue;
    }
    tried.outcome = aOutcome;
    if (aOutcome == dispatch::AttemptOutcome::NotExecuted) {
      tried.refusedAt = base::Now();
    }
  }
}

std::vector<std::shared_ptr<UpstreamServer>>
ServiceCall::LostServers() const
{
  std::vector<std::shared_ptr<UpstreamServer>> servers;
  for (const TriedServer& tried : this->triedServers) {
    if (tried.outcome == dispatch::AttemptOutcome::Lost) {
      servers.push_back(tried.server);
    }
  }
  return servers;
}

void
ServiceCall::Complete(State aState)
{
  this->state = aState;
  this->nextDue = base::Instant::max();
  this->Detach();
  this->options.onChange();
}

void
ServiceCall::Cancel()
{
  std::vector<std::shared_ptr<Attempt>> closing;
  closing.swap(this->openAttempts);
  for (const auto& attempt : closing) {
    attempt->Cancel();
  }
}

Attempt::OnEnd
ServiceCall::ReportIfLost(const std::shared_ptr<Attempt>& aAttempt) const
{
  return [&crashGuard = this->options.context.crashGuard,
          request = this->options.request,
          weak = std::weak_ptr<Attempt>(aAttempt)](ExchangeResult&& aResult) {
    auto attempt = weak.lock();
    if (attempt && aResult.outcome == dispatch::AttemptOutcome::Lost) {
      crashGuard.OnServersLost(MakeLoss(*request, { attempt->Server() }));
    }
  };
}

void
ServiceCall::Detach()
{
  std::vector<std::shared_ptr<Attempt>> detaching;
  detaching.swap(this->openAttempts);
  for (const auto& attempt : detaching) {
    attempt->Detach(kDetachedGracePeriod,
                    this->state == State::Answered ? Attempt::OnEnd()
                                                   : this->ReportIfLost(attempt));
  }
}

} // namespace sapphirewind::engine
