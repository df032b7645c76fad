#include <engine/UpstreamServer.h>

#include <algorithm>
#include <base/Random.h>
#include <boost/asio/post.hpp>
#include <dispatch/Restriction.h>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// Limit on a connect: five times the longest round trip between regions of a user's deployment.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(250);
/// Pause between two probes of a server that has closed a connection and still listens. A server
/// that crashed is back after some seconds.
constexpr base::Duration kProbePause = std::chrono::milliseconds(200);
/// Idle connections beyond the limit are closed after this time: longer than the gaps of steady
/// traffic, but short, as the server may need the connection slots.
constexpr base::Duration kSurplusIdleTimeout = std::chrono::milliseconds(1500);
/// An attempt cancelled after this time plus four times the route's mean service time counts as a
/// failure of the server; usual pauses are shorter.
constexpr base::Duration kUnresponsiveTimeout = std::chrono::milliseconds(500);
/// A connect slower than the recorded round trip raises it by the difference divided by this; a
/// faster one replaces it.
constexpr int kRoundTripSmoothing = 8;

} // namespace

Attempt::Attempt(std::shared_ptr<UpstreamServer> aServer,
                 std::shared_ptr<dispatch::ServiceTimeEstimate> aServiceTime,
                 uint64_t aNumber,
                 OnEnd aOnEnd)
  : server(std::move(aServer))
  , serviceTime(std::move(aServiceTime))
  , number(aNumber)
  , onEnd(std::move(aOnEnd))
  , startedAt(base::Now())
{
}

void
Attempt::Cancel()
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->onEnd = nullptr;
  base::Instant now = base::Now();
  if (now - this->startedAt >= kUnresponsiveTimeout + this->serviceTime->mean * 4) {
    dispatch::OnFailed(this->server->State(), this->number, now);
  } else {
    dispatch::OnCancelled(this->server->State(), *this->serviceTime, this->number, now);
  }
  if (this->connection) {
    this->connection->Close("cancelled");
  }
}

void
Attempt::Detach(base::Duration aGrace, OnEnd aOnEnd)
{
  if (this->ended) {
    return;
  }
  this->onEnd = std::move(aOnEnd);
  this->graceTimer = std::make_unique<Timer>(this->server->options.loop);
  this->graceTimer->expires_after(aGrace);
  this->graceTimer->async_wait([self = this->shared_from_this()](ErrorCode aError) {
    if (!aError) {
      self->Cancel();
    }
  });
}

void
Attempt::End(ExchangeResult&& aResult)
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->connection.reset();
  if (this->graceTimer) {
    this->graceTimer->cancel();
  }
  this->RecordOutcome(aResult);
  OnEnd callback = std::move(this->onEnd);
  this->onEnd = nullptr;
  if (callback) {
    callback(std::move(aResult));
  }
}

void
Attempt::RecordOutcome(const ExchangeResult& aResult)
{
  dispatch::Upstream& state = this->server->State();
  base::Instant now = base::Now();
  bool wasEjected = dispatch::IsEjected(state, now);
  // OnAnswered divides by the slowdown in the answer's report, so that report is recorded first. A
  // refusal's report overrides the queue length that OnRefused assumes, so it is recorded last.
  bool answered = aResult.outcome == dispatch::AttemptOutcome::Answered;
  if (answered) {
    this->RecordLoad(aResult, now);
    dispatch::OnAnswered(state, *this->serviceTime, this->number, now);
  } else if (aResult.outcome == dispatch::AttemptOutcome::NotExecuted) {
    dispatch::OnRefused(state, this->number, now);
  } else {
    dispatch::OnFailed(state, this->number, now);
  }
  if (!answered) {
    this->RecordLoad(aResult, now);
  }
  if (!wasEjected && dispatch::IsEjected(state, now)) {
    telemetry::Log(telemetry::Event::ServerEjected,
                   { { "server", this->server->Description().id },
                     { "service", this->server->Description().service },
                     { "failures_in_row", state.consecutiveFailures },
                     { "for_ms", base::ToMillis(state.ejectedUntil - now) },
                     { "why", dispatch::NameOf(aResult.outcome) } });
  }
  this->RecordRate(aResult, now);
  this->RecordStatement(aResult, now);
  if (aResult.misdirected) {
    telemetry::Log(telemetry::Event::ServerLeaving,
                   { { "server", this->server->Description().id },
                     { "why", "misdirected: its address belongs to another server" } });
    this->server->Retire();
  }
}

void
Attempt::RecordLoad(const ExchangeResult& aResult, base::Instant aNow)
{
  if (aResult.meta.load) {
    dispatch::OnLoadReport(this->server->State(), *aResult.meta.load, aNow);
  }
}

void
Attempt::RecordRate(const ExchangeResult& aResult, base::Instant aNow)
{
  bool isOwnAnswer = aResult.outcome == dispatch::AttemptOutcome::Answered ||
                     aResult.outcome == dispatch::AttemptOutcome::ServerError ||
                     aResult.outcome == dispatch::AttemptOutcome::NotExecuted;
  if (!isOwnAnswer || aResult.misdirected) {
    return;
  }
  dispatch::Upstream& state = this->server->State();
  bool wasLimited = state.rateLimit.has_value();
  dispatch::OnRateReport(state,
                         { .perSecond = aResult.meta.requestRate,
                           .sentAt = this->startedAt,
                           .wallOffset = base::WallClockOffset(aNow) },
                         aNow);
  if (wasLimited == state.rateLimit.has_value()) {
    return;
  }
  const directory::Server& description = this->server->Description();
  if (wasLimited) {
    telemetry::Log(telemetry::Event::ServerLimitEnded,
                   { { "server", description.id }, { "service", description.service } });
  } else {
    telemetry::Log(telemetry::Event::ServerLimited,
                   { { "server", description.id },
                     { "service", description.service },
                     { "per_second", Json::Value(state.rateLimit->options.serverRate) },
                     { "share", Json::Value(state.permitArc.length) } });
  }
}

void
Attempt::RecordStatement(const ExchangeResult& aResult, base::Instant aNow)
{
  for (const std::string& header : aResult.meta.malformed) {
    telemetry::LogRoutine(telemetry::Event::ServerHeaderMalformed,
                          { { "server", this->server->Description().id }, { "header", header } });
  }
  // A misdirected request was answered by another server.
  if (aResult.misdirected) {
    return;
  }
  if (aResult.meta.leaving) {
    this->server->OnLeaving(aNow);
  }
  bool turnedAway = aResult.response.result() == http::status::service_unavailable;
  if (turnedAway && aResult.meta.retryAfter) {
    this->server->OnHeld(*aResult.meta.retryAfter, aNow);
  }
}

UpstreamServer::UpstreamServer(Options aOptions)
  : options(std::move(aOptions))
{
  this->state.roundTrip = this->options.assumedRoundTrip;
  this->state.isRemote = this->options.isRemote;
  this->state.slots = std::max(1U, this->options.server.slots);
  this->state.draining = this->options.server.draining;
  this->state.drainingSince = base::Now();
  this->state.statement = dispatch::FindStatement(*this->options.serverStatements,
                                                  directory::StartOf(this->options.server));
  this->state.permitSeed = base::Hash64(this->options.server.id);
  this->state.coldUntil = base::Now() + this->options.server.coldRemaining;
}

std::shared_ptr<Attempt>
UpstreamServer::Send(UpstreamRequest aRequest,
                     std::shared_ptr<dispatch::ServiceTimeEstimate> aServiceTime,
                     ConnectionPolicy aPolicy,
                     Attempt::OnEnd aOnEnd)
{
  base::Instant now = base::Now();
  uint64_t number = this->nextNumber++;
  dispatch::OnSent(
    this->state, number, dispatch::ExpectedLatency(this->state, *aServiceTime, now), now);
  auto attempt = std::make_shared<Attempt>(
    this->shared_from_this(), std::move(aServiceTime), number, std::move(aOnEnd));
  attempt->connection = this->AcquireConnection(aPolicy, now);
  aRequest.targetId = this->Description().id;
  attempt->connection->Exchange(
    std::move(aRequest), [attempt](ExchangeResult&& aResult) { attempt->End(std::move(aResult)); });
  return attempt;
}

std::shared_ptr<UpstreamConnection>
UpstreamServer::AcquireConnection(ConnectionPolicy aPolicy, base::Instant aNow)
{
  while (aPolicy == ConnectionPolicy::ReuseIdle && !this->idle.empty()) {
    std::shared_ptr<UpstreamConnection> connection = this->idle.back();
    if (aNow < connection->UsableUntil()) {
      this->idle.pop_back();
      return connection;
    }
    connection->Close("idle timeout");
  }
  return this->OpenConnection();
}

std::shared_ptr<UpstreamConnection>
UpstreamServer::OpenConnection()
{
  std::weak_ptr<UpstreamServer> weak = this->weak_from_this();
  return std::make_shared<UpstreamConnection>(UpstreamConnection::Options{
    .loop = this->options.loop,
    .codec = this->options.codec,
    .endpoint = this->options.endpoint,
    .connectTimeout = kConnectTimeout,
    .onIdle =
      [weak](const std::shared_ptr<UpstreamConnection>& aConnection) {
        auto self = weak.lock();
        if (!self || self->state.draining || self->state.statement.leaving) {
          aConnection->Close("server retired or leaving");
          return;
        }
        self->idle.push_back(aConnection);
      },
    .onClosed =
      [weak](const std::shared_ptr<UpstreamConnection>& aConnection) {
        if (auto self = weak.lock()) {
          std::erase(self->idle, aConnection);
        }
      },
    .onConnected =
      [weak](base::Duration aTook) {
        if (auto self = weak.lock()) {
          self->RecordRoundTrip(aTook);
        }
      },
    .bufferedBytes = this->options.bufferedBytes });
}

void
UpstreamServer::RecordRoundTrip(base::Duration aMeasured)
{
  base::Duration& current = this->state.roundTrip;
  bool lower = !this->roundTripKnown || aMeasured < current;
  current = lower ? aMeasured : current + (aMeasured - current) / kRoundTripSmoothing;
  this->roundTripKnown = true;
}

void
UpstreamServer::Refresh(base::Instant aNow)
{
  dispatch::IssuePermits(this->state, aNow);
  if (!this->options.serverStatements->records.empty()) {
    this->state.statement = dispatch::FindStatement(*this->options.serverStatements,
                                                    directory::StartOf(this->options.server));
  }
}

void
UpstreamServer::Probe(std::function<void(bool aConnectionRefused)> aOnResult)
{
  this->ProbeOnce(
    [self = this->shared_from_this(), onResult = std::move(aOnResult)](ErrorCode aError) mutable {
      if (aError) {
        onResult(aError == asio::error::connection_refused);
        return;
      }
      auto pause = std::make_shared<Timer>(self->options.loop);
      pause->expires_after(kProbePause);
      pause->async_wait([self, pause, onResult = std::move(onResult)](ErrorCode) mutable {
        self->ProbeOnce([onResult = std::move(onResult)](ErrorCode aSecondError) {
          onResult(aSecondError == asio::error::connection_refused);
        });
      });
    });
}

void
UpstreamServer::ProbeOnce(std::function<void(ErrorCode)> aOnResult)
{
  auto socket = std::make_shared<Tcp::socket>(this->options.loop);
  auto timer = std::make_shared<Timer>(this->options.loop);
  timer->expires_after(kConnectTimeout);
  timer->async_wait([socket](ErrorCode aError) {
    ErrorCode ignored; // Closing aborts the connect, which then reports operation_aborted.
    if (!aError) {
      socket->close(ignored);
    }
  });
  socket->async_connect(this->options.endpoint,
                        [socket, timer, onResult = std::move(aOnResult)](ErrorCode aError) {
                          timer->cancel();
                          onResult(aError);
                        });
}

void
UpstreamServer::Retire()
{
  if (!this->state.draining) {
    this->state.draining = true;
    this->state.drainingSince = base::Now();
  }
  this->CloseIdle("server retired");
}

void
UpstreamServer::OnLeaving(base::Instant aNow)
{
  if (this->state.statement.leaving) {
    return;
  }
  this->state.statement.leaving = dispatch::OnServerLeaving(
    *this->options.serverStatements, directory::StartOf(this->options.server), aNow);
  telemetry::Log(
    telemetry::Event::ServerLeaving,
    { { "server", this->options.server.id },
      { "started_at_ms", this->options.server.startedAtMs },
      { "why", "its answer says so" },
      { "usable_ms", base::ToMillis(this->state.statement.leaving->usableUntil - aNow) } });
  this->CloseIdle("server leaving");
}

void
UpstreamServer::OnHeld(base::Duration aFor, base::Instant aNow)
{
  std::optional<dispatch::Hold> hold = dispatch::OnServerHeld(
    *this->options.serverStatements, directory::StartOf(this->options.server), aFor, aNow);
  this->state.statement.hold = hold;
  telemetry::Log(
    telemetry::Event::ServerHeld,
    { { "server", this->options.server.id },
      { "asked_ms", base::ToMillis(aFor) },
      { "for_ms", hold ? base::ToMillis(std::max(hold->until - aNow, base::Duration(0))) : 0 } });
}

void
UpstreamServer::CloseIdle(const char* aCause)
{
  std::vector<std::shared_ptr<UpstreamConnection>> closing = this->idle;
  for (const auto& connection : closing) {
    connection->Close(aCause);
  }
}

void
UpstreamServer::Drain()
{
  this->drained = true;
  this->Retire();
}

void
UpstreamServer::SetShare(const dispatch::ConnectionShare& aConnections,
                         const dispatch::InstanceArc& aPermitArc,
                         base::Instant aNow)
{
  this->state.maxInFlight = aConnections.maxInUse;
  this->maxIdleConnections = aConnections.maxIdle;
  dispatch::SetPermitArc(this->state, aPermitArc, aNow);
}

void
UpstreamServer::CloseExpired(base::Instant aNow)
{
  std::vector<std::shared_ptr<UpstreamConnection>> candidates = this->idle;
  // The most recently used connection is at the back and is kept.
  size_t surplus =
    candidates.size() > this->maxIdleConnections ? candidates.size() - this->maxIdleConnections : 0;
  for (size_t index = 0; index < candidates.size(); ++index) {
    bool unused = index < surplus && aNow - candidates[index]->IdleSince() >= kSurplusIdleTimeout;
    if (unused || aNow >= candidates[index]->UsableUntil()) {
      candidates[index]->Close("idle timeout");
    }
  }
}

} // namespace sapphirewind::engine
