#include "RunBase.h"

#include <boost/asio/post.hpp>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

RunBase::RunBase(EngineContext& aContext,
                 std::shared_ptr<const IncomingRequest> aRequest,
                 OnResponse aOnResponse)
  : context(aContext)
  , request(std::move(aRequest))
  , onResponse(std::move(aOnResponse))
  , timer(aContext.loop)
{
}

base::Instant
RunBase::RefuseBy() const
{
  return this->request->receivedAt + this->request->route->objective / kRefuseAfterPart;
}

void
RunBase::WakeAt(base::Instant aWhen)
{
  this->timer.expires_at(aWhen);
  this->timer.async_wait([self = this->Self()](ErrorCode aError) {
    if (!aError && !self->done) {
      self->Evaluate();
    }
  });
}

void
RunBase::WakeNow()
{
  asio::post(this->context.loop, [self = this->Self()] {
    if (!self->done) {
      self->Evaluate();
    }
  });
}

void
RunBase::Cancel()
{
  if (this->done) {
    return;
  }
  this->done = true;
  this->onResponse = nullptr;
  this->timer.cancel();
  this->CancelCalls();
  this->context.metrics.Count(Counter::CallerLeft);
  telemetry::Log(
    telemetry::Event::CallerLeft,
    { { "request", this->request->meta.id },
      { "after_ms", std::to_string(base::ToMillis(base::Now() - this->request->receivedAt)) } });
}

void
RunBase::Respond(HttpResponse&& aResponse, Counter aCounter, const std::string& aDetail)
{
  this->done = true;
  this->timer.cancel();
  this->DetachCalls();
  base::Duration took = base::Now() - this->request->receivedAt;
  this->context.metrics.Count(aCounter);
  this->context.metrics.ObserveLatency(this->request->route->rank, took);
  telemetry::Log(telemetry::Event::RequestEnded,
                 { { "request", this->request->meta.id },
                   { "route", this->request->route->name },
                   { "version", std::to_string(this->request->routes->Current().version) },
                   { "status", std::to_string(aResponse.result_int()) },
                   { "took_ms", std::to_string(base::ToMillis(took)) },
                   { "detail", aDetail } });
  OnResponse callback = std::move(this->onResponse);
  this->onResponse = nullptr;
  callback(std::move(aResponse));
}

void
RunBase::Answer(HttpResponse&& aResponse, Counter aCounter, const std::string& aDetail)
{
  this->context.crashGuard.OnAnswered(this->request->fingerprint, this->request->meta.id);
  this->Respond(std::move(aResponse), aCounter, aDetail);
}

void
RunBase::Refuse(dispatch::Refusal aRefusal, const std::string& aDetail)
{
  Counter counter = Counter::FailedUnknown;
  if (aRefusal == dispatch::Refusal::NotRun) {
    counter = Counter::RefusedNotRun;
  } else if (aRefusal == dispatch::Refusal::TimedOut) {
    counter = Counter::TimedOut;
  }
  this->CancelCalls();
  this->context.crashGuard.OnUnanswered({ .requestId = this->request->meta.id,
                                          .fingerprint = this->request->fingerprint,
                                          .lostAt = this->LostAt(),
                                          .ranAlone = this->request->isSuspect });
  this->Respond(MakeRefusal(aRefusal, kRetryAfter), counter, aDetail);
}

} // namespace sapphirewind::engine
