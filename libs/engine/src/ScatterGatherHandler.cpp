#include "ScatterGatherHandler.h"

#include <algorithm>

namespace sapphirewind::engine {

namespace {

/// Limit on the calls in one log record, as a query may have hundreds of shards.
constexpr Json::ArrayIndex kMaxLoggedCalls = 20;

} // namespace

void
ScatterGatherHandler::Start()
{
  base::Instant now = base::Now();
  std::weak_ptr<ScatterGatherHandler> weak = this->weak_from_this();
  for (const std::string& service : this->request->route->shards) {
    this->calls.push_back(std::make_shared<ServiceCall>(
      ServiceCall::Options{ .context = this->context,
                            .request = this->request,
                            .service = service,
                            .answerBy = this->AnswerBy(),
                            .onChange = [weak] {
                              if (auto self = weak.lock(); self && !self->IsDone()) {
                                self->Evaluate();
                              }
                            } }));
  }
  this->StartCalls(now);
  this->PostEvaluation();
}

void
ScatterGatherHandler::StartCalls(base::Instant aNow)
{
  if (this->started == 0 && this->LacksCapacity(aNow)) {
    return;
  }
  bool mayStartAll = !this->request->isSuspect || (this->started > 0 && this->FirstIsHarmless());
  size_t until = mayStartAll ? this->calls.size() : 1;
  for (; this->started < until; ++this->started) {
    this->calls[this->started]->Start(aNow);
  }
}

bool
ScatterGatherHandler::FirstIsHarmless() const
{
  const ServiceCall& first = *this->calls.front();
  bool noneRanIt =
    first.CurrentState() == ServiceCall::State::Failed &&
    dispatch::ClassifyFailure(first.History(), false) == dispatch::RequestFailure::NotExecuted;
  return first.CurrentState() == ServiceCall::State::Answered || noneRanIt;
}

bool
ScatterGatherHandler::LacksCapacity(base::Instant aNow) const
{
  auto capable = std::count_if(this->calls.begin(), this->calls.end(), [&](const auto& aCall) {
    return aCall->MayHaveCapacity(aNow, this->RefusalDeadline());
  });
  size_t minParts = dispatch::MinParts(this->calls.size(), this->request->route->minCoverage);
  return static_cast<size_t>(capable) < minParts;
}

base::Instant
ScatterGatherHandler::AnswerBy() const
{
  return this->request->objective - dispatch::kAnswerMargin;
}

dispatch::GatherState
ScatterGatherHandler::CurrentGatherState() const
{
  dispatch::GatherState state;
  state.shards = this->calls.size();
  state.minParts = dispatch::MinParts(state.shards, this->request->route->minCoverage);
  for (const auto& call : this->calls) {
    state.parts += call->CurrentState() == ServiceCall::State::Answered ? 1 : 0;
    state.pending += call->CurrentState() == ServiceCall::State::Pending ? 1 : 0;
  }
  return state;
}

void
ScatterGatherHandler::AdvanceCalls(base::Instant aNow)
{
  size_t expectedParts = 0;
  for (const auto& call : this->calls) {
    bool pending = call->CurrentState() == ServiceCall::State::Pending;
    bool answered = call->CurrentState() == ServiceCall::State::Answered;
    expectedParts += answered || (pending && call->HasOnTimeAttempt(aNow)) ? 1 : 0;
  }
  size_t minParts = dispatch::MinParts(this->calls.size(), this->request->route->minCoverage);
  size_t shortfall = minParts > expectedParts ? minParts - expectedParts : 0;
  for (const auto& call : this->calls) {
    if (aNow >= call->NextDue()) {
      call->SetShortfall(shortfall);
      call->Advance(aNow);
    }
  }
}

bool
ScatterGatherHandler::NothingRan() const
{
  return std::all_of(this->calls.begin(), this->calls.end(), [](const auto& aCall) {
    return dispatch::ClassifyFailure(aCall->History(), false) ==
           dispatch::RequestFailure::NotExecuted;
  });
}

dispatch::RequestFailure
ScatterGatherHandler::CurrentRefusal(bool aDeadlineExceeded) const
{
  if (this->NothingRan()) {
    return dispatch::RequestFailure::NotExecuted;
  }
  return aDeadlineExceeded ? dispatch::RequestFailure::TimedOut
                           : dispatch::RequestFailure::OutcomeUnknown;
}

void
ScatterGatherHandler::Evaluate()
{
  base::Instant now = base::Now();
  this->AdvanceCalls(now);
  this->StartCalls(now);
  bool deadlineExceeded = now >= this->ResponseDeadline();
  dispatch::GatherStep step =
    dispatch::NextGatherStep(this->CurrentGatherState(), this->AnswerBy(), now);
  if (step == dispatch::GatherStep::Answer) {
    this->MergeAndRespond();
    return;
  }
  bool hasNoCapacity = this->started == 0 || (now >= this->RefusalDeadline() && this->NothingRan());
  bool firstCallFailed = this->started < this->calls.size() &&
                         this->calls.front()->CurrentState() == ServiceCall::State::Failed;
  if (firstCallFailed || step == dispatch::GatherStep::GiveUp || deadlineExceeded ||
      hasNoCapacity) {
    this->Refuse(this->CurrentRefusal(deadlineExceeded),
                 deadlineExceeded ? kDeadlineExceeded
                                  : (hasNoCapacity ? kNoCapacity : kCoverageUnreachable));
    return;
  }
  base::Instant wake = this->ResponseDeadline();
  for (base::Instant due : { this->AnswerBy(), this->RefusalDeadline() }) {
    wake = due > now ? std::min(wake, due) : wake;
  }
  for (const auto& call : this->calls) {
    wake = std::min(wake, call->NextDue());
  }
  this->ScheduleEvaluation(wake);
}

base::Instant
ScatterGatherHandler::AvailableAt(base::Instant aNow) const
{
  std::vector<base::Instant> times;
  for (const auto& call : this->calls) {
    times.push_back(call->AvailableAt(aNow));
  }
  std::sort(times.begin(), times.end());
  size_t minParts = dispatch::MinParts(times.size(), this->request->route->minCoverage);
  return minParts == 0 ? aNow : times[minParts - 1];
}

Json::Value
ScatterGatherHandler::CallsToLog() const
{
  Json::Value calls(Json::arrayValue);
  for (const auto& call : this->calls) {
    if (call->ShouldLog() && calls.size() < kMaxLoggedCalls) {
      calls.append(call->Describe());
    }
  }
  return calls;
}

void
ScatterGatherHandler::MergeAndRespond()
{
  CoverageMeta coverage;
  std::vector<std::string_view> parts;
  for (const auto& call : this->calls) {
    if (call->CurrentState() == ServiceCall::State::Answered) {
      parts.push_back(call->Result().response.body());
      coverage.signatures.push_back(call->Result().meta.signature);
    }
  }
  coverage.missing = this->calls.size() - parts.size();
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/octet-stream");
  this->context.codec.writeCoverage(response, coverage);
  response.body() = dispatch::MergeTopRecords(parts, this->request->route->topRecords);
  response.prepare_payload();
  if (this->request->message->method() == http::verb::head) {
    // The servers sent no parts, so the length of the answer to GET is not known.
    response.erase(http::field::content_length);
  }
  Counter counter = coverage.missing == 0 ? Counter::Answered : Counter::AnsweredPartly;
  this->ForwardResponse(std::move(response), counter);
}

void
ScatterGatherHandler::CancelCalls()
{
  for (const auto& call : this->calls) {
    call->Cancel();
  }
}

std::vector<std::shared_ptr<UpstreamServer>>
ScatterGatherHandler::LostServers() const
{
  std::vector<std::shared_ptr<UpstreamServer>> servers;
  for (const auto& call : this->calls) {
    for (const auto& server : call->LostServers()) {
      servers.push_back(server);
    }
  }
  return servers;
}

void
ScatterGatherHandler::DetachCalls()
{
  for (const auto& call : this->calls) {
    call->Detach();
  }
}

} // namespace sapphirewind::engine
