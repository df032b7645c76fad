#include <tier/BookingService.h>

#include <algorithm>
#include <base/Random.h>
#include <future>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

/// Minimum time for recording the outcome before the caller is answered, also past the deadline.
constexpr base::Duration kRecordTimeout = std::chrono::milliseconds(300);
/// How long recording is retried in the background after the answer, if it failed before.
constexpr base::Duration kLateRecordTimeout = std::chrono::seconds(30);
constexpr base::Duration kClaimCallTimeout = std::chrono::milliseconds(500);

BookingAnswer
Refuse(const BookingRequest& aRequest, model::Errc aError, int aRetryAfter = 0)
{
  BookingAnswer answer;
  answer.requestId = aRequest.requestId;
  answer.error = aError;
  answer.detail = make_error_code(aError).message();
  answer.retryAfterSeconds = aRetryAfter;
  return answer;
}

BookingAnswer
AnswerUnknown(const BookingRequest& aRequest)
{
  BookingAnswer answer = Refuse(aRequest, model::Errc::InDoubt);
  answer.outcome = model::Outcome::Unknown;
  return answer;
}

BookingAnswer
Replay(const BookingRequest& aRequest, const std::string& aReceipt)
{
  BookingAnswer answer;
  answer.requestId = aRequest.requestId;
  answer.outcome = model::Outcome::Ran;
  answer.receipt = aReceipt;
  answer.replayed = true;
  return answer;
}

const model::Snapshot*
NewestSnapshot(const model::ServiceIndex& aIndex)
{
  auto newest = std::max_element(aIndex.snapshots.begin(),
                                 aIndex.snapshots.end(),
                                 [](const model::Snapshot& aLeft, const model::Snapshot& aRight) {
                                   return aLeft.serial < aRight.serial;
                                 });
  return newest == aIndex.snapshots.end() ? nullptr : &*newest;
}

} // namespace

std::string
GroupForSubject(const model::Snapshot& aSnapshot, const std::string& aSubject)
{
  if (aSnapshot.shards.empty()) {
    return {};
  }
  return aSnapshot.shards[base::Hash64(aSubject) % aSnapshot.shards.size()].group;
}

BookingService::BookingService(BookingContext aContext)
  : context(aContext)
{
}

BookingAnswer
BookingService::Book(const BookingRequest& aRequest, std::optional<base::Duration> aTimeLeft)
{
  base::Instant started = base::Now();
  ServingStatePointer servingState = this->context.servingState.Get();
  if (!servingState->IsReady()) {
    return Refuse(aRequest, model::Errc::NotReady, 1);
  }
  const config::RequestClass* requestClass =
    servingState->configuration.FindClass(aRequest.className);
  if (!requestClass) {
    return Refuse(aRequest, model::Errc::UnknownClass);
  }
  const ServiceState* service = servingState->FindService(requestClass->service);
  const model::Snapshot* snapshot = service ? NewestSnapshot(service->index) : nullptr;
  if (!snapshot) {
    return Refuse(aRequest, model::Errc::NotReady, 1);
  }
  base::Duration allowed =
    std::min(aTimeLeft.value_or(requestClass->latencyTarget), requestClass->latencyTarget);
  base::Instant deadline = started + allowed;
  if (allowed.count() <= 0) {
    return Refuse(aRequest, model::Errc::DeadlinePassed);
  }
  model::BookingTask task{ .requestId = aRequest.requestId,
                           .service = requestClass->service,
                           .group = GroupForSubject(*snapshot, aRequest.subject),
                           .key = aRequest.key,
                           .body = aRequest.body,
                           .policy = { .className = requestClass->name,
                                       .rank = requestClass->rank,
                                       .guaranteedShare = requestClass->guaranteedShare },
                           .remaining = allowed };
  claims::Operation acquire{ .kind = claims::OperationKind::Acquire,
                             .key = requestClass->service + "/" + aRequest.key,
                             .nonce = base::NewId(base::ThreadRandom()),
                             .holder = this->context.self,
                             .bodyHash =
                               base::CombineHash(base::Hash64(aRequest.subject), aRequest.body),
                             .atMillis = base::WallClockMillis() };
  std::optional<claims::OperationResult> claim =
    this->ApplyOperation(*servingState, acquire, deadline);
  BookingAnswer answer;
  if (!claim) {
    // Nothing was sent, so `not_run` is true even if the claim itself was written.
    answer = Refuse(aRequest, model::Errc::StoreUnavailable, 5);
  } else if (claim->verdict == claims::Verdict::Granted) {
    answer = this->RunClaimed(aRequest, *servingState, task, acquire.nonce, deadline);
  } else if (claim->verdict == claims::Verdict::Replay) {
    answer = Replay(aRequest, claim->receipt);
  } else if (claim->verdict == claims::Verdict::KeyReused) {
    answer = Refuse(aRequest, model::Errc::KeyReused);
  } else if (claim->verdict == claims::Verdict::Full) {
    answer = Refuse(aRequest, model::Errc::ClaimsFull, 60);
  } else {
    answer = AnswerUnknown(aRequest);
  }
  base::Instant now = base::Now();
  this->context.metrics.Record(requestClass->name,
                               telemetry::CompletedRequest{ .outcome = answer.outcome,
                                                            .refused = answer.error.has_value(),
                                                            .late = now > deadline,
                                                            .coverage = 1.0,
                                                            .latency = now - started },
                               now);
  return answer;
}

BookingAnswer
BookingService::RunClaimed(const BookingRequest& aRequest,
                           const ServingState& aState,
                           const model::BookingTask& aTask,
                           const std::string& aNonce,
                           base::Instant aDeadline)
{
  // If the process was paused after acquiring the claim until past the deadline, Dispatch does not
  // send.
  model::BookingResult result = this->Dispatch(aState, aTask, aDeadline);
  claims::Operation record{ .kind = claims::OperationKind::Settle,
                            .key = aTask.service + "/" + aRequest.key,
                            .nonce = aNonce,
                            .holder = this->context.self,
                            .outcome = result.outcome,
                            .receipt = result.receipt };
  if (result.outcome == model::Outcome::NotRun) {
    record.kind = claims::OperationKind::Release;
    telemetry::Log(telemetry::Event::ClaimGivenUp, { { "request", aRequest.requestId } });
  }
  if (result.outcome == model::Outcome::Unknown) {
    telemetry::Log(telemetry::Event::BookingUnknown, { { "request", aRequest.requestId } });
  }
  this->RecordOutcome(aState, record, aDeadline);
  BookingAnswer answer;
  answer.requestId = aRequest.requestId;
  answer.outcome = result.outcome;
  answer.receipt = result.receipt;
  answer.error = result.error;
  answer.detail = result.error ? make_error_code(*result.error).message() : "";
  answer.retryAfterSeconds = result.outcome == model::Outcome::NotRun ? 1 : 0;
  return answer;
}

model::BookingResult
BookingService::DispatchLocally(const model::BookingTask& aTask, base::Instant aDeadline)
{
  auto promise = std::make_shared<std::promise<model::BookingResult>>();
  std::future<model::BookingResult> future = promise->get_future();
  this->context.cells.Book(aTask, aDeadline, [promise](model::BookingResult aResult) {
    promise->set_value(std::move(aResult));
  });
  // The cell always calls back: a queued booking is dropped at the deadline, and one that was sent
  // times out at the deadline.
  return future.get();
}

model::BookingResult
BookingService::Dispatch(const ServingState& aState,
                         model::BookingTask aTask,
                         base::Instant aDeadline)
{
  model::BookingResult notRun{ .outcome = model::Outcome::NotRun,
                               .receipt = {},
                               .error = model::Errc::NoReplica };
  const ServiceState* service = aState.FindService(aTask.service);
  const routing::GroupRoute* route = service ? service->assignment.RouteOf(aTask.group) : nullptr;
  if (!route) {
    return notRun;
  }
  std::set<std::string> triedOwners;
  while (true) {
    this->context.pauseGuard.WaitForRefresh();
    aTask.remaining = aDeadline - base::Now();
    if (aTask.remaining.count() <= 0) {
      notRun.error = model::Errc::DeadlinePassed;
      return notRun;
    }
    std::string owner = ChooseOwner(*route, triedOwners, {}, base::ThreadRandom());
    if (owner.empty()) {
      return notRun;
    }
    triedOwners.insert(owner);
    if (owner == this->context.self) {
      return this->DispatchLocally(aTask, aDeadline);
    }
    auto address = aState.instanceAddresses.find(owner);
    if (address == aState.instanceAddresses.end()) {
      continue;
    }
    base::Result<Json::Value> answer =
      this->context.peers.Call(address->second,
                               "book",
                               model::ToJson(aTask),
                               CallOptions{ .timeout = aTask.remaining, .newConnection = true });
    if (answer) {
      std::optional<model::BookingResult> result = model::BookingResultFromJson(*answer);
      return result.value_or(model::BookingResult{
        .outcome = model::Outcome::Unknown, .receipt = {}, .error = model::Errc::UpstreamFailed });
    }
    bool nothingRan =
      answer.Error().code == PeerErrc::Unreachable || answer.Error().code == PeerErrc::Refused;
    if (!nothingRan) {
      return model::BookingResult{ .outcome = model::Outcome::Unknown,
                                   .receipt = {},
                                   .error = model::Errc::UpstreamFailed };
    }
  }
}

std::optional<claims::OperationResult>
BookingService::ApplyOperation(const ServingState& aState,
                               const claims::Operation& aOperation,
                               base::Instant aDeadline)
{
  // While all instances agree on the membership, one instance writes a bucket, so that writes are
  // batched there. Operations are idempotent, so falling back to a local write is safe.
  std::string object = claims::BucketObjectName(claims::BucketOf(aOperation.key));
  std::vector<std::string> writerOrder = routing::RendezvousOrder(object, aState.servingInstances);
  bool hasRemoteWriter = !writerOrder.empty() && writerOrder.front() != this->context.self;
  if (hasRemoteWriter && aState.instanceAddresses.count(writerOrder.front())) {
    Json::Value parameters = claims::ToJson(aOperation);
    parameters["version"] = model::kPeerProtocolVersion;
    base::Duration timeout = std::min(kClaimCallTimeout, (aDeadline - base::Now()) / 2);
    parameters["remaining_us"] = static_cast<Json::Int64>(timeout.count());
    base::Result<Json::Value> answer =
      this->context.peers.Call(aState.instanceAddresses.at(writerOrder.front()),
                               "claim",
                               parameters,
                               CallOptions{ .timeout = timeout });
    std::optional<claims::OperationResult> result =
      answer ? claims::ResultFromJson(*answer) : std::nullopt;
    if (result) {
      return result;
    }
  }
  return this->context.claims.Submit(aOperation, aDeadline);
}

void
BookingService::RecordOutcome(const ServingState& aState,
                              const claims::Operation& aOperation,
                              base::Instant aDeadline)
{
  base::Instant recordDeadline = std::max(aDeadline, base::Now() + kRecordTimeout);
  if (this->ApplyOperation(aState, aOperation, recordDeadline)) {
    return;
  }
  // Until the outcome is recorded, a repeated request with the same key gets the outcome `unknown`,
  // which is true.
  this->context.executor.Submit([this, aOperation] {
    this->context.claims.Submit(aOperation, base::Now() + kLateRecordTimeout);
  });
}

} // namespace sapphirewind::tier
