#include <tier/BookingService.h>

#include <algorithm>
#include <base/Random.h>
#include <future>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

/// Time kept back for recording the outcome before the caller is answered.
constexpr base::Duration kRecordTime = std::chrono::milliseconds(300);
/// How long an outcome that could not be recorded in time is tried to be recorded after the answer.
constexpr base::Duration kLateRecordTime = std::chrono::seconds(30);
constexpr base::Duration kClaimCallTime = std::chrono::milliseconds(500);

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
InDoubt(const BookingRequest& aRequest)
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
  WorldPointer world = this->context.world.Get();
  if (!world->IsReady()) {
    return Refuse(aRequest, model::Errc::NotReady, 1);
  }
  const config::RequestClass* requestClass = world->configuration.FindClass(aRequest.className);
  if (!requestClass) {
    return Refuse(aRequest, model::Errc::UnknownClass);
  }
  const ServiceWorld* service = world->FindService(requestClass->service);
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
  claims::Operation take{ .kind = claims::OperationKind::Acquire,
                          .key = requestClass->service + "/" + aRequest.key,
                          .nonce = base::NewId(base::ThreadRandom()),
                          .holder = this->context.self,
                          .bodyHash =
                            base::CombineHash(base::Hash64(aRequest.subject), aRequest.body),
                          .atMillis = base::WallClockMillis() };
  std::optional<claims::OperationResult> claim = this->Apply(*world, take, deadline);
  BookingAnswer answer;
  if (!claim) {
    // Nothing was sent, so this is true even if the claim itself was written.
    answer = Refuse(aRequest, model::Errc::StoreUnavailable, 5);
  } else if (claim->verdict == claims::Verdict::Granted) {
    answer = this->Claimed(aRequest, *world, task, take.nonce, deadline);
  } else if (claim->verdict == claims::Verdict::Replay) {
    answer = Replay(aRequest, claim->receipt);
  } else if (claim->verdict == claims::Verdict::KeyReused) {
    answer = Refuse(aRequest, model::Errc::KeyReused);
  } else if (claim->verdict == claims::Verdict::Full) {
    answer = Refuse(aRequest, model::Errc::ClaimsFull, 60);
  } else {
    answer = InDoubt(aRequest);
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
BookingService::Claimed(const BookingRequest& aRequest,
                        const World& aWorld,
                        const model::BookingTask& aTask,
                        const std::string& aNonce,
                        base::Instant aDeadline)
{
  // A holder that was frozen after its claim wakes past its deadline and does not send.
  model::BookingResult result = this->Dispatch(aWorld, aTask, aDeadline);
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
  this->Record(aWorld, record, aDeadline);
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
BookingService::DispatchHere(const model::BookingTask& aTask, base::Instant aDeadline)
{
  auto promise = std::make_shared<std::promise<model::BookingResult>>();
  std::future<model::BookingResult> future = promise->get_future();
  this->context.cells.Book(aTask, aDeadline, [promise](model::BookingResult aResult) {
    promise->set_value(std::move(aResult));
  });
  // The cell always calls back: what waits is dropped at the deadline, what was sent times out by
  // it.
  return future.get();
}

model::BookingResult
BookingService::Dispatch(const World& aWorld, model::BookingTask aTask, base::Instant aDeadline)
{
  model::BookingResult notRun{ .outcome = model::Outcome::NotRun,
                               .receipt = {},
                               .error = model::Errc::NoReplica };
  const ServiceWorld* service = aWorld.FindService(aTask.service);
  const routing::GroupRoute* route = service ? service->assignment.RouteOf(aTask.group) : nullptr;
  if (!route) {
    return notRun;
  }
  std::set<std::string> asked;
  while (true) {
    this->context.freshness.Pass();
    aTask.remaining = aDeadline - base::Now();
    if (aTask.remaining.count() <= 0) {
      notRun.error = model::Errc::DeadlinePassed;
      return notRun;
    }
    std::string owner = ChooseOwner(*route, asked, {}, base::ThreadRandom());
    if (owner.empty()) {
      return notRun;
    }
    asked.insert(owner);
    if (owner == this->context.self) {
      return this->DispatchHere(aTask, aDeadline);
    }
    auto address = aWorld.addresses.find(owner);
    if (address == aWorld.addresses.end()) {
      continue;
    }
    base::Result<Json::Value> answer =
      this->context.peers.Call(address->second,
                               "book",
                               model::ToJson(aTask),
                               CallOptions{ .timeout = aTask.remaining, .fresh = true });
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
BookingService::Apply(const World& aWorld,
                      const claims::Operation& aOperation,
                      base::Instant aDeadline)
{
  // One instance writes a bucket while all agree on the membership, so that writes gather there. An
  // operation applied twice is as one applied once, so falling back to a write from here is safe.
  std::string object = claims::BucketObjectName(claims::BucketOf(aOperation.key));
  std::vector<std::string> order = routing::RendezvousOrder(object, aWorld.serving);
  bool elsewhere = !order.empty() && order.front() != this->context.self;
  if (elsewhere && aWorld.addresses.count(order.front())) {
    Json::Value parameters = claims::ToJson(aOperation);
    parameters["version"] = model::kPeerProtocolVersion;
    base::Duration time = std::min(kClaimCallTime, (aDeadline - base::Now()) / 2);
    parameters["remaining_us"] = static_cast<Json::Int64>(time.count());
    base::Result<Json::Value> answer = this->context.peers.Call(
      aWorld.addresses.at(order.front()), "claim", parameters, CallOptions{ .timeout = time });
    std::optional<claims::OperationResult> result =
      answer ? claims::ResultFromJson(*answer) : std::nullopt;
    if (result) {
      return result;
    }
  }
  return this->context.claims.Submit(aOperation, aDeadline);
}

void
BookingService::Record(const World& aWorld,
                       const claims::Operation& aOperation,
                       base::Instant aDeadline)
{
  base::Instant soon = std::max(aDeadline, base::Now() + kRecordTime);
  if (this->Apply(aWorld, aOperation, soon)) {
    return;
  }
  // Until it is recorded a resend is told `unknown`, which is true.
  this->context.executor.Submit(
    [this, aOperation] { this->context.claims.Submit(aOperation, base::Now() + kLateRecordTime); });
}

} // namespace sapphirewind::tier
