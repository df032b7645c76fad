#include "PlainRequestHandler.h"

#include <algorithm>

namespace sapphirewind::engine {

namespace {

/// Whether a status says of itself that the request did not run, which is not known of an answer
/// that lacks the server's own word for it.
bool
PromisesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

void
PlainRequestHandler::Start()
{
  const std::string& service =
    dispatch::NextDestination(this->context.upstreams.SplitOf(this->request->route->name),
                              this->request->route->destinations);
  std::weak_ptr<PlainRequestHandler> weak = this->weak_from_this();
  this->call = std::make_shared<ServiceCall>(
    ServiceCall::Options{ .context = this->context,
                          .request = this->request,
                          .service = service,
                          .answerBy = this->request->objective,
                          .onChange = [weak] {
                            if (auto self = weak.lock(); self && !self->IsDone()) {
                              self->Evaluate();
                            }
                          } });
  this->call->Start(base::Now());
  this->WakeNow();
}

void
PlainRequestHandler::Evaluate()
{
  base::Instant now = base::Now();
  if (this->call->CurrentState() == ServiceCall::State::Pending && now >= this->call->NextDue()) {
    this->call->Advance(now);
  }
  if (this->call->CurrentState() == ServiceCall::State::Answered) {
    this->PassOn();
    return;
  }
  bool timeIsOver = now >= this->LastMoment();
  dispatch::RequestFailure refusal = dispatch::ClassifyFailure(this->call->History(), timeIsOver);
  bool failed = this->call->CurrentState() == ServiceCall::State::Failed;
  if (failed && this->call->HasAnswer()) {
    this->PassOn();
    return;
  }
  bool foundNoRoom = refusal == dispatch::RequestFailure::NotExecuted && now >= this->RefuseBy();
  if (failed || timeIsOver || foundNoRoom) {
    this->Refuse(refusal, timeIsOver ? kTimeOver : (failed ? kNoTryLeft : kNoRoom));
    return;
  }
  base::Instant wake = std::min(this->call->NextDue(), this->LastMoment());
  bool sent = this->call->History().open > 0;
  this->WakeAt(sent ? wake : std::min(wake, this->RefuseBy()));
}

void
PlainRequestHandler::PassOn()
{
  HttpResponse response = this->call->Answer().response;
  if (PromisesNotRun(response.result_int())) {
    this->Refuse(dispatch::RequestFailure::OutcomeUnknown, kNoPromise);
    return;
  }
  RemoveHopByHop(response);
  response.version(11);
  bool hasLength = response.has_content_length();
  bool bodiless = this->request->message->method() == http::verb::head ||
                  response.result() == http::status::no_content ||
                  response.result() == http::status::not_modified;
  if (!bodiless || !hasLength) {
    response.prepare_payload();
  }
  this->Answer(std::move(response), Counter::Answered);
}

void
PlainRequestHandler::CancelCalls()
{
  this->call->Cancel();
}

std::vector<std::shared_ptr<UpstreamServer>>
PlainRequestHandler::LostAt() const
{
  return this->call->LostAt();
}

Json::Value
PlainRequestHandler::NotableCalls() const
{
  Json::Value calls(Json::arrayValue);
  if (this->call->IsNotable()) {
    calls.append(this->call->Describe());
  }
  return calls;
}

void
PlainRequestHandler::DetachCalls()
{
  this->call->Detach();
}

} // namespace sapphirewind::engine
