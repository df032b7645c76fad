#include <tier/SearchService.h>

#include <algorithm>
#include <base/Random.h>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

/// Attempts of a whole query, each on another snapshot.
constexpr size_t kMaxSnapshotAttempts = 3;
constexpr base::Duration kReadinessCallTimeout = std::chrono::milliseconds(300);

model::SearchResponse
Refuse(const model::SearchRequest& aRequest, model::Errc aError, int aRetryAfter = 0)
{
  model::SearchResponse answer;
  answer.requestId = aRequest.requestId;
  answer.outcome = model::Outcome::NotRun;
  answer.error = aError;
  answer.detail = make_error_code(aError).message();
  answer.retryAfterSeconds = aRetryAfter;
  return answer;
}

bool
AnyLacksSnapshot(const ScatterOutcome& aOutcome)
{
  return std::any_of(aOutcome.groups.begin(), aOutcome.groups.end(), [](const auto& aEntry) {
    return aEntry.second.error == model::Errc::NoSnapshot;
  });
}

bool
AnySuspect(const ScatterOutcome& aOutcome)
{
  return std::any_of(aOutcome.groups.begin(), aOutcome.groups.end(), [](const auto& aEntry) {
    return aEntry.second.error == model::Errc::Suspect;
  });
}

/// The mean queue wait over a query's groups. A group without an answer counts as having waited the
/// whole time.
base::Duration
MeanQueueWait(const ScatterOutcome& aOutcome, size_t aExpectedGroups, base::Duration aElapsed)
{
  int64_t sum = 0;
  for (const auto& [name, group] : aOutcome.groups) {
    sum += group.queueWait.count();
  }
  size_t unanswered =
    aExpectedGroups > aOutcome.groups.size() ? aExpectedGroups - aOutcome.groups.size() : 0;
  sum += static_cast<int64_t>(unanswered) * aElapsed.count();
  size_t all = std::max<size_t>(1, aOutcome.groups.size() + unanswered);
  return base::Duration(sum / static_cast<int64_t>(all));
}

/// The error to report for missing parts: the deadline if a group did not answer, else a suspect
/// request if any group reports it, else the first group's error.
model::Errc
ErrorForMissingParts(const ScatterOutcome& aOutcome, size_t aExpectedGroups)
{
  if (aOutcome.groups.size() < aExpectedGroups) {
    return model::Errc::DeadlinePassed;
  }
  std::optional<model::Errc> reason;
  for (const auto& [name, group] : aOutcome.groups) {
    if (group.error && (!reason || *group.error == model::Errc::Suspect)) {
      reason = group.error;
    }
  }
  return reason.value_or(model::Errc::CoverageTooLow);
}

model::Outcome
OutcomeOf(const ScatterOutcome& aOutcome, size_t aExpectedGroups)
{
  if (aOutcome.groups.empty()) {
    return model::Outcome::Unknown;
  }
  model::Outcome outcome = aOutcome.groups.begin()->second.outcome;
  for (const auto& [name, group] : aOutcome.groups) {
    outcome = model::Combine(outcome, group.outcome);
  }
  bool someUnanswered = aOutcome.groups.size() < aExpectedGroups;
  return someUnanswered ? model::Combine(outcome, model::Outcome::Unknown) : outcome;
}

} // namespace

std::optional<model::Snapshot>
SnapshotTracker::Pick(const model::ServiceIndex& aIndex, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const model::Snapshot* snapshot =
    routing::PickSnapshot(aIndex, this->readiness[aIndex.service], aNow);
  return snapshot ? std::optional(*snapshot) : std::nullopt;
}

std::vector<std::string>
SnapshotTracker::ListUnconfirmed(const model::ServiceIndex& aIndex)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> ids;
  for (const model::Snapshot* snapshot :
       routing::UnconfirmedSnapshots(aIndex, this->readiness[aIndex.service])) {
    ids.push_back(snapshot->id);
  }
  return ids;
}

void
SnapshotTracker::RecordReady(const std::string& aService,
                             const std::string& aSnapshot,
                             base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  routing::RecordReady(this->readiness[aService], aSnapshot, aNow);
}

void
SnapshotTracker::RecordMissing(const std::string& aService,
                               const std::string& aSnapshot,
                               base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  routing::RecordMissing(this->readiness[aService], aSnapshot, aNow);
}

void
SnapshotTracker::EraseUnlisted(const model::ServiceIndex& aIndex)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  routing::EraseUnlisted(this->readiness[aIndex.service], aIndex);
}

std::vector<model::GroupTask>
TasksOf(const model::Snapshot& aSnapshot)
{
  std::map<std::string, std::vector<std::string>> byGroup;
  for (const model::ShardLocation& place : aSnapshot.shards) {
    byGroup[place.group].push_back(place.shard);
  }
  std::vector<model::GroupTask> tasks;
  for (auto& [group, shards] : byGroup) {
    tasks.push_back(model::GroupTask{ .group = group, .shards = std::move(shards) });
  }
  return tasks;
}

model::SearchResponse
Assemble(const model::SearchRequest& aRequest,
         const model::Snapshot& aSnapshot,
         const ScatterOutcome& aOutcome,
         double aMinCoverage)
{
  std::vector<std::string> all;
  for (const model::ShardLocation& place : aSnapshot.shards) {
    all.push_back(place.shard);
  }
  std::vector<std::string> answered;
  for (const auto& [name, group] : aOutcome.groups) {
    answered.insert(answered.end(), group.shards.begin(), group.shards.end());
  }
  size_t groups = TasksOf(aSnapshot).size();
  model::SearchResponse answer;
  answer.requestId = aRequest.requestId;
  answer.snapshot = aSnapshot.id;
  answer.coverage = model::ComputeCoverage(all, answered);
  answer.outcome = OutcomeOf(aOutcome, groups);
  size_t end = std::min(aOutcome.hits.size(), aRequest.offset + aRequest.limit);
  for (size_t index = aRequest.offset; index < end; ++index) {
    answer.hits.push_back(aOutcome.hits[index]);
  }
  if (answer.coverage.answered == 0 || answer.coverage.Share() < aMinCoverage) {
    model::Errc reason = ErrorForMissingParts(aOutcome, groups);
    // An error that implies that nothing ran must be true of every part, so partial answers get
    // their own error.
    answer.error = answer.coverage.answered > 0 ? model::Errc::CoverageTooLow : reason;
    answer.detail = make_error_code(reason).message();
  }
  return answer;
}

/// A request in progress.
struct SearchService::RunningRequest
{
  const model::SearchRequest& request;
  ServingStatePointer servingState;
  const config::RequestClass* requestClass = nullptr;
  const ServiceState* service = nullptr;
  model::ClassPolicy policy;
  quarantine::Fingerprint fingerprint = 0;
  base::Instant started{};
  base::Instant deadline{};
  base::Duration meanWait{ 0 };
};

SearchService::SearchService(SearchContext aContext)
  : context(aContext)
{
}

model::SearchResponse
SearchService::Search(const model::SearchRequest& aRequest, std::optional<base::Duration> aTimeLeft)
{
  RunningRequest running{ .request = aRequest, .servingState = this->context.servingState.Get() };
  running.started = base::Now();
  if (!running.servingState->IsReady()) {
    return Refuse(aRequest, model::Errc::NotReady, 1);
  }
  running.requestClass = running.servingState->configuration.FindClass(aRequest.className);
  if (!running.requestClass) {
    return Refuse(aRequest, model::Errc::UnknownClass);
  }
  running.service = running.servingState->FindService(running.requestClass->service);
  if (!running.service) {
    return Refuse(aRequest, model::Errc::NotReady, 1);
  }
  base::Duration allowed = running.requestClass->latencyTarget;
  if (aTimeLeft) {
    allowed = std::min(allowed, *aTimeLeft);
  }
  running.deadline = running.started + allowed;
  if (allowed.count() <= 0) {
    return Refuse(aRequest, model::Errc::DeadlinePassed);
  }
  running.policy = model::ClassPolicy{ .className = running.requestClass->name,
                                       .rank = running.requestClass->rank,
                                       .guaranteedShare = running.requestClass->guaranteedShare };
  running.fingerprint = quarantine::FingerprintOf(running.requestClass->service, aRequest.query);
  if (this->context.quarantine.StateOf(running.fingerprint, running.started) ==
      quarantine::QuarantineState::Quarantined) {
    return Refuse(aRequest, model::Errc::Suspect);
  }
  model::SearchResponse answer;
  bool admissionEnabled = this->context.scatter.experiment.admission;
  AdmissionController& controller =
    this->context.admissionControllers.ForService(running.requestClass->service);
  AdmissionDecision admission{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  if (admissionEnabled) {
    admission = controller.Admit(running.policy, running.deadline);
  }
  if (admission.admitted) {
    base::Instant admittedAt = base::Now();
    answer = this->RunAdmitted(running);
    if (admissionEnabled) {
      controller.OnFinished(running.policy, running.meanWait, base::Now() - admittedAt);
    }
  } else {
    answer = Refuse(aRequest, *admission.reason, admission.retryAfterSeconds);
  }
  this->Record(running, answer);
  return answer;
}

model::SearchResponse
SearchService::RunAdmitted(RunningRequest& aRunning)
{
  std::optional<model::SearchResponse> best;
  // The combined outcome of all attempts: that one did not run does not imply it for the others.
  std::optional<model::Outcome> combinedOutcome;
  for (size_t attempt = 0; attempt < kMaxSnapshotAttempts; ++attempt) {
    base::Instant now = base::Now();
    ServingStatePointer latest = this->context.servingState.Get();
    const ServiceState* service = latest->FindService(aRunning.requestClass->service);
    const model::ServiceIndex& index = service ? service->index : aRunning.service->index;
    std::optional<model::Snapshot> snapshot = this->context.snapshots.Pick(index, now);
    if (!snapshot || snapshot->shards.empty()) {
      if (!best) {
        return Refuse(aRunning.request, model::Errc::NoSnapshot, 1);
      }
      break;
    }
    if (service) {
      aRunning.servingState = latest;
      aRunning.service = service;
    }
    ScatterOutcome outcome = this->RunOnSnapshot(aRunning, *snapshot);
    aRunning.meanWait = MeanQueueWait(outcome, TasksOf(*snapshot).size(), base::Now() - now);
    model::SearchResponse answer =
      Assemble(aRunning.request, *snapshot, outcome, aRunning.requestClass->minCoverage);
    combinedOutcome =
      combinedOutcome ? model::Combine(*combinedOutcome, answer.outcome) : answer.outcome;
    if (!best || answer.coverage.Share() > best->coverage.Share()) {
      best = answer;
    }
    bool suspect = AnySuspect(outcome);
    if (suspect) {
      best->error = model::Errc::Suspect;
      best->detail = make_error_code(model::Errc::Suspect).message();
    }
    if (suspect || !AnyLacksSnapshot(outcome)) {
      break;
    }
    // Answers from different snapshots are never mixed: the whole query restarts on another
    // snapshot, if there is one.
    this->context.snapshots.RecordMissing(
      aRunning.requestClass->service, snapshot->id, base::Now());
    telemetry::Log(telemetry::Event::SnapshotRestart,
                   { { "request", aRunning.request.requestId }, { "snapshot", snapshot->id } });
  }
  if (best->outcome == model::Outcome::NotRun) {
    best->outcome = *combinedOutcome;
  }
  return *best;
}

ScatterOutcome
SearchService::RunOnSnapshot(RunningRequest& aRunning, const model::Snapshot& aSnapshot)
{
  model::ScatterRequest request{ .requestId = aRunning.request.requestId,
                                 .service = aRunning.requestClass->service,
                                 .snapshot = aSnapshot.id,
                                 .query = aRunning.request.query,
                                 .top = aRunning.request.offset + aRunning.request.limit,
                                 .policy = aRunning.policy,
                                 .remaining = aRunning.deadline - base::Now(),
                                 .canary = false,
                                 .groups = TasksOf(aSnapshot) };
  Canary canary;
  bool needsCanary = this->context.scatter.experiment.canary && request.groups.size() > 1 &&
                     !this->context.quarantine.IsKnownHarmless(aRunning.fingerprint);
  if (needsCanary) {
    // The fingerprint selects the canary group, so that equal requests go to the same owner.
    canary.group = request.groups[aRunning.fingerprint % request.groups.size()].group;
    canary.strict = this->context.quarantine.HasRecentLoss(base::Now());
  }
  ScatterOutcome outcome = RunScatter(this->context.scatter,
                                      this->avoidedPeers,
                                      aRunning.servingState,
                                      request,
                                      canary,
                                      aRunning.deadline);
  auto first = outcome.groups.find(canary.group);
  if (first != outcome.groups.end() && !first->second.shards.empty()) {
    this->context.quarantine.OnAnswered(aRunning.fingerprint, base::Now());
  }
  return outcome;
}

void
SearchService::Record(const RunningRequest& aRunning, const model::SearchResponse& aAnswer)
{
  base::Instant now = base::Now();
  bool answered = !aAnswer.error || aAnswer.coverage.answered > 0;
  telemetry::CompletedRequest finished{ .outcome = aAnswer.outcome,
                                        .refused = !answered,
                                        .late = now > aRunning.started +
                                                        aRunning.requestClass->latencyTarget,
                                        .coverage = aAnswer.coverage.Share(),
                                        .latency = now - aRunning.started };
  this->context.metrics.Record(aRunning.requestClass->name, finished, now);
}

bool
SearchService::IsReadyEverywhere(const ServingState& aState,
                                 const ServiceState& aService,
                                 const model::Snapshot& aSnapshot)
{
  std::map<std::string, std::vector<std::string>> byOwner;
  bool direct = this->context.scatter.experiment.dispatch == config::DispatchMode::Direct;
  for (const model::GroupTask& task : TasksOf(aSnapshot)) {
    const routing::GroupRoute* route = aService.assignment.RouteOf(task.group);
    if (!route) {
      return false;
    }
    byOwner[direct ? this->context.scatter.self : route->owners.front()].push_back(task.group);
  }
  for (const auto& [owner, groups] : byOwner) {
    if (owner == this->context.scatter.self) {
      if (!this->context.scatter.cells
             .GroupsWithoutSnapshot(aService.index.service, aSnapshot.id, groups)
             .empty()) {
        return false;
      }
      continue;
    }
    Json::Value parameters;
    parameters["service"] = aService.index.service;
    parameters["snapshot"] = aSnapshot.id;
    for (const std::string& group : groups) {
      parameters["groups"].append(group);
    }
    auto address = aState.instanceAddresses.find(owner);
    if (address == aState.instanceAddresses.end()) {
      return false;
    }
    base::Result<Json::Value> answer = this->context.scatter.peers.Call(
      address->second, "lacking", parameters, CallOptions{ .timeout = kReadinessCallTimeout });
    if (!answer || !(*answer)["groups"].isArray() || !(*answer)["groups"].empty()) {
      return false;
    }
  }
  return true;
}

void
SearchService::ConfirmSnapshots()
{
  ServingStatePointer servingState = this->context.servingState.Get();
  for (const auto& [name, service] : servingState->services) {
    this->context.snapshots.EraseUnlisted(service.index);
    for (const std::string& id : this->context.snapshots.ListUnconfirmed(service.index)) {
      auto snapshot = std::find_if(service.index.snapshots.begin(),
                                   service.index.snapshots.end(),
                                   [&](const model::Snapshot& aEntry) { return aEntry.id == id; });
      if (snapshot != service.index.snapshots.end() &&
          this->IsReadyEverywhere(*servingState, service, *snapshot)) {
        this->context.snapshots.RecordReady(name, id, base::Now());
        telemetry::Log(telemetry::Event::SnapshotProven,
                       { { "service", name }, { "snapshot", id } });
      }
    }
  }
}

} // namespace sapphirewind::tier
