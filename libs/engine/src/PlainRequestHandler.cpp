#include "PlainRequestHandler.h"

#include <algorithm>

namespace sapphirewind::engine {

namespace {

/// Whether a status implies that the request was not executed. Without the server's not-executed
/// header that is not certain, so such a response must not be forwarded.
bool
ClaimsNotExecuted(unsigned aStatus)
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
  this->PostEvaluation();
}

void
PlainRequestHandler::Evaluate()
{
  base::Instant now = base::Now();
  if (this->call->CurrentState() == ServiceCall::State::Pending && now >= this->call->NextDue()) {
    this->call->Advance(now);
  }
  if (this->call->CurrentState() == ServiceCall::State::Answered) {
    this->ForwardServerResponse();
    return;
  }
  bool deadlineExceeded = now >= this->ResponseDeadline();
  dispatch::RequestFailure refusal =
    dispatch::ClassifyFailure(this->call->History(), deadlineExceeded);
  bool failed = this->call->CurrentState() == ServiceCall::State::Failed;
  if (failed && this->call->HasResult()) {
    this->ForwardServerResponse();
    return;
  }
  bool hasNoCapacity =
    refusal == dispatch::RequestFailure::NotExecuted &&
    (now >= this->RefusalDeadline() || !this->call->MayHaveCapacity(now, this->RefusalDeadline()));
  if (failed || deadlineExceeded || hasNoCapacity) {
    bool wasSent = this->call->History().sent > 0;
    this->Refuse(refusal,
                 deadlineExceeded ? kDeadlineExceeded
                                  : (failed && wasSent ? kAttemptsExhausted : kNoCapacity));
    return;
  }
  base::Instant wake = std::min(this->call->NextDue(), this->ResponseDeadline());
  bool sent = this->call->History().open > 0;
  this->ScheduleEvaluation(sent ? wake : std::min(wake, this->RefusalDeadline()));
}

void
PlainRequestHandler::ForwardServerResponse()
{
  HttpResponse response = this->call->Result().response;
  if (ClaimsNotExecuted(response.result_int())) {
    this->Refuse(dispatch::RequestFailure::OutcomeUnknown, kExecutionUnknown);
    return;
  }
  RemoveHopByHop(response);
  response.version(11);
  if (response.result() == http::status::no_content) {
    // A caller that goes by a length waits for bytes that never come.
    response.erase(http::field::content_length);
  } else if (!this->MayNameLengthOfAbsentBody(response)) {
    response.prepare_payload();
  }
  this->ForwardResponse(std::move(response), Counter::Answered);
}

bool
PlainRequestHandler::MayNameLengthOfAbsentBody(const HttpResponse& aResponse) const
{
  bool isWithoutBody = this->request->message->method() == http::verb::head ||
                       aResponse.result() == http::status::not_modified;
  return isWithoutBody && aResponse.has_content_length();
}

void
PlainRequestHandler::CancelCalls()
{
  this->call->Cancel();
}

std::vector<std::shared_ptr<UpstreamServer>>
PlainRequestHandler::LostServers() const
{
  return this->call->LostServers();
}

base::Instant
PlainRequestHandler::AvailableAt(base::Instant aNow) const
{
  return this->call->AvailableAt(aNow);
}

Json::Value
PlainRequestHandler::CallsToLog() const
{
  Json::Value calls(Json::arrayValue);
  if (this->call->ShouldLog()) {
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
