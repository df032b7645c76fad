#include "RequestHandlerBase.h"

#include <boost/asio/post.hpp>
#include <dispatch/Restriction.h>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

RequestHandlerBase::RequestHandlerBase(EngineContext& aContext,
                                       std::shared_ptr<const IncomingRequest> aRequest,
                                       OnResponse aOnResponse)
  : context(aContext)
  , request(std::move(aRequest))
  , onResponse(std::move(aOnResponse))
  , startedAt(base::Now())
  , timer(aContext.loop)
{
}

base::Instant
RequestHandlerBase::RefusalDeadline() const
{
  return this->startedAt + this->request->route->objective / kRefusalDeadlineDivisor;
}

void
RequestHandlerBase::ScheduleEvaluation(base::Instant aWhen)
{
  this->timer.expires_at(aWhen);
  this->timer.async_wait([self = this->Self()](ErrorCode aError) {
    if (!aError && !self->done) {
      self->Evaluate();
    }
  });
}

void
RequestHandlerBase::PostEvaluation()
{
  asio::post(this->context.loop, [self = this->Self()] {
    if (!self->done) {
      self->Evaluate();
    }
  });
}

void
RequestHandlerBase::Cancel()
{
  if (this->done) {
    return;
  }
  this->done = true;
  this->onResponse = nullptr;
  this->timer.cancel();
  this->ReportLosses();
  this->CancelCalls();
  this->context.metrics.Count(Counter::CallerLeft);
  telemetry::Log(telemetry::Event::CallerLeft,
                 { { "request", this->request->meta.id },
                   { "after_ms", base::ToMillis(base::Now() - this->request->receivedAt) } });
}

void
RequestHandlerBase::Complete(HttpResponse&& aResponse, Counter aCounter, const char* aWhy)
{
  this->done = true;
  this->timer.cancel();
  base::Duration took = base::Now() - this->request->receivedAt;
  this->context.metrics.Count(aCounter);
  this->context.metrics.ObserveRequest(this->request->route->rank, aCounter, took);
  this->LogCompletion(aResponse.result_int(), took, aWhy);
  this->DetachCalls();
  OnResponse callback = std::move(this->onResponse);
  this->onResponse = nullptr;
  callback(std::move(aResponse));
}

void
RequestHandlerBase::LogCompletion(unsigned aStatus, base::Duration aTook, const char* aWhy)
{
  base::Instant now = base::Now();
  const directory::Route& route = *this->request->route;
  base::Duration allowed = this->request->deadline - this->request->receivedAt;
  Json::Value calls = this->CallsToLog();
  bool inTime = aTook <= route.objective;
  bool isRoutine = aStatus < 300 && inTime && calls.empty();
  auto log = isRoutine ? telemetry::LogRoutine : telemetry::Log;
  log(telemetry::Event::RequestEnded,
      { { "request", this->request->meta.id },
        { "route", route.name },
        { "rank", route.rank },
        { "idempotent", route.idempotency == directory::Idempotency::Idempotent },
        { "attempts", route.maxAttempts },
        { "version", this->request->routes->Current().version },
        { "status", aStatus },
        { "why", aWhy },
        { "took_ms", base::ToMillis(aTook) },
        { "objective_ms", base::ToMillis(route.objective) },
        { "allowed_ms", base::ToMillis(allowed) },
        { "servers_heard_ms", base::ToMillis(now - this->context.upstreams.LastSourceAnswer()) },
        { "calls", calls } });
}

void
RequestHandlerBase::ForwardResponse(HttpResponse&& aResponse, Counter aCounter)
{
  bool isWhole = aCounter != Counter::AnsweredPartly;
  if (isWhole) {
    this->context.crashGuard.OnAnswered(this->request->fingerprint, this->request->meta.id);
  } else {
    this->ReportLosses();
  }
  this->Complete(std::move(aResponse), aCounter, "answered");
}

void
RequestHandlerBase::Refuse(dispatch::RequestFailure aRefusal, const char* aWhy)
{
  Counter counter = Counter::FailedUnknown;
  if (aRefusal == dispatch::RequestFailure::NotExecuted) {
    counter = Counter::RefusedNotRun;
  } else if (aRefusal == dispatch::RequestFailure::TimedOut) {
    counter = Counter::TimedOut;
  }
  this->ReportLosses();
  base::Duration retryAfter = this->RetryAfter();
  this->CancelCalls();
  this->Complete(MakeRefusalResponse(aRefusal, retryAfter), counter, aWhy);
}

void
RequestHandlerBase::ReportLosses()
{
  std::vector<std::shared_ptr<UpstreamServer>> lost = this->LostServers();
  if (!lost.empty()) {
    this->context.crashGuard.OnServersLost(MakeLoss(*this->request, std::move(lost)));
  }
}

base::Duration
RequestHandlerBase::RetryAfter() const
{
  base::Instant now = base::Now();
  base::Instant availableAt = this->AvailableAt(now);
  if (availableAt <= now) {
    return kRetryAfter;
  }
  return dispatch::RetryDelay(
    availableAt - now, this->request->route->rank, base::UniformUnit(this->context.random));
}

} // namespace sapphirewind::engine
