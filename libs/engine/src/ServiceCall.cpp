#include <engine/ServiceCall.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <dispatch/ExtraAttempt.h>
#include <dispatch/Gather.h>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// How often a send is tried again that found no server with room or no budget: a short service
/// time.
constexpr base::Duration kResendInterval = std::chrono::milliseconds(10);
/// A server gets no request that it has less than this to answer.
constexpr base::Duration kLeastRemaining = std::chrono::milliseconds(3);
/// How long an attempt may go on that nobody waits for: past an ordinary pause of a server.
constexpr base::Duration kDetachedGrace = std::chrono::milliseconds(350);

} // namespace

ServiceCall::ServiceCall(Options aOptions)
  : options(std::move(aOptions))
  , work(this->options.context.upstreams.WorkOf(this->options.request->route->name))
{
}

void
ServiceCall::Start(base::Instant aNow)
{
  routing::Deposit(this->options.context.upstreams.BudgetOf(this->options.service));
  this->resendDue = true;
  this->Advance(aNow);
}

void
ServiceCall::Advance(base::Instant aNow)
{
  if (this->state != State::Pending) {
    return;
  }
  bool hedgeDue = !this->resendDue && aNow >= this->hedgeAt;
  if (this->resendDue || hedgeDue) {
    Sent sent = this->TrySend(aNow);
    if (sent == Sent::Yes) {
      this->hedges += hedgeDue ? 1 : 0;
      this->options.context.metrics.Count(Counter::Hedge, hedgeDue ? 1 : 0);
      this->resendDue = false;
    } else if (sent == Sent::Never) {
      this->resendDue = false;
      this->hedgeAt = base::Instant::max();
      if (this->open.empty()) {
        this->state = State::Failed;
      }
    }
  }
  bool waits = this->resendDue || aNow >= this->hedgeAt;
  this->nextDue = waits ? aNow + kResendInterval : this->hedgeAt;
}

ServiceCall::Sent
ServiceCall::TrySend(base::Instant aNow)
{
  const directory::Route& route = *this->options.request->route;
  bool mayAskAgain = std::any_of(this->tries.begin(), this->tries.end(), [](const Try& aTry) {
    return aTry.refusedAt.has_value();
  });
  bool spent = this->tries.size() >= std::max(1U, route.maxAttempts);
  bool mayCrashAnother = this->options.request->isSuspect && this->history.mayHaveExecuted;
  if ((spent && !mayAskAgain) || mayCrashAnother ||
      !dispatch::MayRetry(this->history, route.idempotency) ||
      this->options.request->deadline - aNow < kLeastRemaining) {
    return Sent::Never;
  }
  std::shared_ptr<UpstreamServer> server = this->Choose(aNow);
  if (!server) {
    return Sent::NotNow;
  }
  if (dispatch::IsExtraAttempt(this->history) && !this->MaySpend(*server, aNow)) {
    ++this->heldBack;
    return Sent::NotNow;
  }
  this->Launch(server, aNow);
  return Sent::Yes;
}

bool
ServiceCall::MaySpend(const UpstreamServer& aServer, base::Instant aNow)
{
  routing::AttemptBudget& budget = this->options.context.upstreams.BudgetOf(this->options.service);
  dispatch::ExtraAttempt extra{ .expected =
                                  dispatch::ExpectedLatency(aServer.State(), *this->work, aNow),
                                .answerBy = this->options.answerBy,
                                .remainingBudget = budget.tokens / budget.capacity,
                                .shortfall = this->shortfall };
  if (!dispatch::ShouldSendExtraAttempt(extra, aNow)) {
    return false;
  }
  if (!routing::TryWithdraw(budget)) {
    this->options.context.metrics.Count(Counter::BudgetExhausted);
    return false;
  }
  return true;
}

bool
ServiceCall::IsExcluded(const UpstreamServer& aServer, base::Instant aNow) const
{
  auto tried = std::find_if(this->tries.begin(), this->tries.end(), [&](const Try& aTry) {
    return aTry.server.get() == &aServer;
  });
  if (tried == this->tries.end()) {
    // The route bounds the servers that one request is sent to.
    return this->tries.size() >= std::max(1U, this->options.request->route->maxAttempts);
  }
  return !tried->refusedAt || aNow - *tried->refusedAt < kResendInterval;
}

bool
ServiceCall::IsUnderWay(base::Instant aNow) const
{
  return !this->open.empty() && aNow < this->hedgeAt;
}

std::shared_ptr<UpstreamServer>
ServiceCall::Choose(base::Instant aNow)
{
  const UpstreamPool::Servers& servers =
    this->options.context.upstreams.ServersOf(this->options.service);
  std::vector<const dispatch::Upstream*> states;
  std::vector<size_t> triedIndexes;
  for (size_t index = 0; index < servers.size(); ++index) {
    states.push_back(&servers[index]->State());
    if (this->IsExcluded(*servers[index], aNow)) {
      triedIndexes.push_back(index);
    }
  }
  std::optional<size_t> chosen =
    dispatch::ChooseUpstream(states, triedIndexes, *this->work, aNow, this->options.context.random);
  return chosen ? servers[*chosen] : nullptr;
}

void
ServiceCall::Launch(const std::shared_ptr<UpstreamServer>& aServer, base::Instant aNow)
{
  const IncomingRequest& incoming = *this->options.request;
  bool repeatable = incoming.route->idempotency == directory::Idempotency::Idempotent;
  dispatch::OnAttemptStarted(this->history);
  auto self = this->shared_from_this();
  auto slot = std::make_shared<std::weak_ptr<Attempt>>();
  base::Duration expected = dispatch::ExpectedLatency(aServer->State(), *this->work, aNow);
  this->NoteStart(aServer, expected, aNow);
  std::shared_ptr<Attempt> attempt =
    aServer->Send(this->MakeRequest(*aServer, aNow),
                  incoming.meta.id,
                  this->work,
                  repeatable ? UpstreamServer::ConnectionPolicy::ReuseIdle
                             : UpstreamServer::ConnectionPolicy::RequireNew,
                  [self, slot](ExchangeResult&& aResult) {
                    if (auto ended = slot->lock()) {
                      self->OnEnd(ended, std::move(aResult));
                    }
                  });
  *slot = attempt;
  this->options.context.metrics.Count(Counter::UpstreamSend);
  this->open.push_back(attempt);
  this->hedgeAt = base::Instant::max();
  bool mayHedge =
    repeatable && !incoming.isSuspect && this->tries.size() < incoming.route->maxAttempts;
  if (mayHedge) {
    base::Duration another = this->ExpectedOfAnother(aNow).value_or(expected);
    this->hedgeAt = aNow + dispatch::HedgeDelay({ .expectedFirst = expected,
                                                  .expectedSecond = another,
                                                  .untilAnswer = this->options.answerBy - aNow });
  }
}

void
ServiceCall::NoteStart(const std::shared_ptr<UpstreamServer>& aServer,
                       base::Duration aExpected,
                       base::Instant aNow)
{
  auto known = std::find_if(this->tries.begin(), this->tries.end(), [&](const Try& aTry) {
    return aTry.server == aServer;
  });
  if (known == this->tries.end()) {
    this->tries.push_back({ .server = aServer, .at = aNow, .expected = aExpected });
    return;
  }
  known->refusedAt.reset();
  known->end.reset();
}

std::optional<base::Duration>
ServiceCall::ExpectedOfAnother(base::Instant aNow)
{
  std::shared_ptr<UpstreamServer> other = this->Choose(aNow);
  if (!other) {
    return std::nullopt;
  }
  return dispatch::ExpectedLatency(other->State(), *this->work, aNow);
}

std::shared_ptr<HttpRequest>
ServiceCall::MakeRequest(const UpstreamServer& aServer, base::Instant aNow) const
{
  const IncomingRequest& incoming = *this->options.request;
  auto request = std::make_shared<HttpRequest>(*incoming.message);
  request->version(11);
  request->keep_alive(true);
  this->options.context.codec.writeUpstreamRequest(
    *request,
    UpstreamRequestMeta{ .remaining = incoming.deadline - aNow,
                         .targetId = aServer.Description().id });
  return request;
}

void
ServiceCall::OnEnd(const std::shared_ptr<Attempt>& aAttempt, ExchangeResult&& aResult)
{
  std::erase(this->open, aAttempt);
  bool isPart = aResult.response.result_int() / 100 == 2;
  if (this->options.request->route->IsQuery() && !isPart &&
      aResult.end == dispatch::AttemptOutcome::Answered) {
    aResult.end = dispatch::AttemptOutcome::ServerError;
  }
  dispatch::OnAttemptEnded(this->history, aResult.end);
  this->NoteEnd(aAttempt->Server(), aResult.end);
  if (this->state != State::Pending) {
    return;
  }
  bool answered = aResult.end == dispatch::AttemptOutcome::Answered;
  if (!answered) {
    this->options.context.metrics.Count(Counter::AttemptFailed);
    telemetry::Log(telemetry::Event::AttemptFailed,
                   { { "request", this->options.request->meta.id },
                     { "service", this->options.service },
                     { "server", aAttempt->Server().Description().id },
                     { "attempt", this->history.sent },
                     { "end", dispatch::NameOf(aResult.end) },
                     { "status", aResult.response.result_int() },
                     { "why", aResult.cause } });
  }
  if (answered || aResult.end == dispatch::AttemptOutcome::ServerError) {
    this->answer = std::move(aResult);
    this->hasAnswer = true;
  }
  if (answered) {
    this->Settle(State::Answered);
    return;
  }
  this->resendDue = true;
  this->nextDue = base::Now();
  this->options.onChange();
}

void
ServiceCall::NoteEnd(const UpstreamServer& aServer, dispatch::AttemptOutcome aEnd)
{
  for (Try& attempt : this->tries) {
    if (attempt.server.get() != &aServer) {
      continue;
    }
    attempt.end = aEnd;
    if (aEnd == dispatch::AttemptOutcome::NotExecuted) {
      attempt.refusedAt = base::Now();
    }
  }
}

std::vector<std::shared_ptr<UpstreamServer>>
ServiceCall::LostAt() const
{
  std::vector<std::shared_ptr<UpstreamServer>> servers;
  for (const Try& attempt : this->tries) {
    if (attempt.end == dispatch::AttemptOutcome::Lost) {
      servers.push_back(attempt.server);
    }
  }
  return servers;
}

void
ServiceCall::Settle(State aState)
{
  this->state = aState;
  this->nextDue = base::Instant::max();
  this->Detach();
  this->options.onChange();
}

bool
ServiceCall::IsNotable() const
{
  return this->state != State::Answered || this->tries.size() > 1;
}

void
ServiceCall::DescribeServers(Json::Value& aCall) const
{
  unsigned leaving = 0;
  unsigned full = 0;
  const UpstreamPool::Servers& servers =
    this->options.context.upstreams.ServersOf(this->options.service);
  for (const auto& server : servers) {
    bool isLeaving = server->State().draining;
    leaving += isLeaving ? 1 : 0;
    full += !isLeaving && !dispatch::HasCapacity(server->State()) ? 1 : 0;
  }
  aCall["servers"] = Json::UInt64(servers.size());
  aCall["leaving"] = leaving;
  aCall["full"] = full;
}

Json::Value
ServiceCall::Describe() const
{
  Json::Value call;
  call["service"] = this->options.service;
  call["answered"] = this->state == State::Answered;
  call["held_back"] = this->heldBack;
  this->DescribeServers(call);
  call["tries"] = Json::Value(Json::arrayValue);
  for (const Try& attempt : this->tries) {
    Json::Value entry;
    entry["server"] = attempt.server->Description().id;
    entry["at_ms"] = Json::Int64(base::ToMillis(attempt.at - this->options.request->receivedAt));
    entry["expected_ms"] = Json::Int64(base::ToMillis(attempt.expected));
    entry["end"] = attempt.end ? dispatch::NameOf(*attempt.end) : "open";
    call["tries"].append(entry);
  }
  return call;
}

void
ServiceCall::Cancel()
{
  std::vector<std::shared_ptr<Attempt>> closing;
  closing.swap(this->open);
  for (const auto& attempt : closing) {
    attempt->Cancel();
  }
}

void
ServiceCall::Detach()
{
  std::vector<std::shared_ptr<Attempt>> leaving;
  leaving.swap(this->open);
  for (const auto& attempt : leaving) {
    attempt->Detach(kDetachedGrace);
  }
}

} // namespace sapphirewind::engine
