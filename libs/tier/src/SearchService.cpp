#include <tier/SearchService.h>

#include <algorithm>
#include <base/Random.h>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

/// Tries of a whole query on different snapshots.
constexpr size_t kMaxSnapshotTries = 3;
constexpr base::Duration kReadyCallTimeout = std::chrono::milliseconds(300);

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

/// The mean wait for slots over a query's groups. A group that never answered waited all the while.
base::Duration
MeanWait(const ScatterOutcome& aOutcome, size_t aExpectedGroups, base::Duration aElapsed)
{
  int64_t sum = 0;
  for (const auto& [name, group] : aOutcome.groups) {
    sum += group.queueWait.count();
  }
  size_t silent =
    aExpectedGroups > aOutcome.groups.size() ? aExpectedGroups - aOutcome.groups.size() : 0;
  sum += static_cast<int64_t>(silent) * aElapsed.count();
  size_t all = std::max<size_t>(1, aOutcome.groups.size() + silent);
  return base::Duration(sum / static_cast<int64_t>(all));
}

/// The error that explains best why parts are missing.
model::Errc
ReasonForMissing(const ScatterOutcome& aOutcome, size_t aExpectedGroups)
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
  bool someSilent = aOutcome.groups.size() < aExpectedGroups;
  return someSilent ? model::Combine(outcome, model::Outcome::Unknown) : outcome;
}

} // namespace

std::optional<model::Snapshot>
SnapshotBook::Pick(const model::ServiceIndex& aIndex, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const model::Snapshot* snapshot =
    routing::PickSnapshot(aIndex, this->knowledge[aIndex.service], aNow);
  return snapshot ? std::optional(*snapshot) : std::nullopt;
}

std::vector<std::string>
SnapshotBook::ToProve(const model::ServiceIndex& aIndex)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> ids;
  for (const model::Snapshot* snapshot :
       routing::UnconfirmedSnapshots(aIndex, this->knowledge[aIndex.service])) {
    ids.push_back(snapshot->id);
  }
  return ids;
}

void
SnapshotBook::NoteReady(const std::string& aService,
                        const std::string& aSnapshot,
                        base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  routing::RecordReady(this->knowledge[aService], aSnapshot, aNow);
}

void
SnapshotBook::NoteMissing(const std::string& aService,
                          const std::string& aSnapshot,
                          base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  routing::RecordMissing(this->knowledge[aService], aSnapshot, aNow);
}

void
SnapshotBook::Forget(const model::ServiceIndex& aIndex)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  routing::EraseUnlisted(this->knowledge[aIndex.service], aIndex);
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
         double aLeastCoverage)
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
  if (answer.coverage.answered == 0 || answer.coverage.Share() < aLeastCoverage) {
    model::Errc reason = ReasonForMissing(aOutcome, groups);
    // A refusal's word that nothing ran must hold for every part.
    answer.error = answer.coverage.answered > 0 ? model::Errc::CoverageTooLow : reason;
    answer.detail = make_error_code(reason).message();
  }
  return answer;
}

/// One request on its way.
struct SearchService::Run
{
  const model::SearchRequest& request;
  WorldPointer world;
  const config::RequestClass* requestClass = nullptr;
  const ServiceWorld* service = nullptr;
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
  Run run{ .request = aRequest, .world = this->context.world.Get() };
  run.started = base::Now();
  if (!run.world->IsReady()) {
    return Refuse(aRequest, model::Errc::NotReady, 1);
  }
  run.requestClass = run.world->configuration.FindClass(aRequest.className);
  if (!run.requestClass) {
    return Refuse(aRequest, model::Errc::UnknownClass);
  }
  run.service = run.world->FindService(run.requestClass->service);
  if (!run.service) {
    return Refuse(aRequest, model::Errc::NotReady, 1);
  }
  base::Duration allowed = run.requestClass->latencyTarget;
  if (aTimeLeft) {
    allowed = std::min(allowed, *aTimeLeft);
  }
  run.deadline = run.started + allowed;
  if (allowed.count() <= 0) {
    return Refuse(aRequest, model::Errc::DeadlinePassed);
  }
  run.policy = model::ClassPolicy{ .className = run.requestClass->name,
                                   .rank = run.requestClass->rank,
                                   .guaranteedShare = run.requestClass->guaranteedShare };
  run.fingerprint = quarantine::FingerprintOf(run.requestClass->service, aRequest.query);
  if (this->context.quarantine.StandingOf(run.fingerprint, run.started) ==
      quarantine::QuarantineState::Quarantined) {
    return Refuse(aRequest, model::Errc::Suspect);
  }
  model::SearchResponse answer;
  bool gated = this->context.scatter.experiment.admission;
  Gate& gate = this->context.gates.Of(run.requestClass->service);
  Admission admission{ .admitted = true, .reason = std::nullopt, .retryAfterSeconds = 0 };
  if (gated) {
    admission = gate.Enter(run.policy, run.deadline);
  }
  if (admission.admitted) {
    base::Instant admittedAt = base::Now();
    answer = this->Admitted(run);
    if (gated) {
      gate.Leave(run.policy, run.meanWait, base::Now() - admittedAt);
    }
  } else {
    answer = Refuse(aRequest, *admission.reason, admission.retryAfterSeconds);
  }
  this->Record(run, answer);
  return answer;
}

model::SearchResponse
SearchService::Admitted(Run& aRun)
{
  std::optional<model::SearchResponse> best;
  // What became of all tries together: a refusal of one says nothing of the others.
  std::optional<model::Outcome> tried;
  for (size_t attempt = 0; attempt < kMaxSnapshotTries; ++attempt) {
    base::Instant now = base::Now();
    WorldPointer latest = this->context.world.Get();
    const ServiceWorld* service = latest->FindService(aRun.requestClass->service);
    const model::ServiceIndex& index = service ? service->index : aRun.service->index;
    std::optional<model::Snapshot> snapshot = this->context.snapshots.Pick(index, now);
    if (!snapshot || snapshot->shards.empty()) {
      if (!best) {
        return Refuse(aRun.request, model::Errc::NoSnapshot, 1);
      }
      break;
    }
    if (service) {
      aRun.world = latest;
      aRun.service = service;
    }
    ScatterOutcome outcome = this->RunPinned(aRun, *snapshot);
    aRun.meanWait = MeanWait(outcome, TasksOf(*snapshot).size(), base::Now() - now);
    model::SearchResponse answer =
      Assemble(aRun.request, *snapshot, outcome, aRun.requestClass->minCoverage);
    tried = tried ? model::Combine(*tried, answer.outcome) : answer.outcome;
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
    // Never mixed: the whole query starts over on another snapshot, if there is another.
    this->context.snapshots.NoteMissing(aRun.requestClass->service, snapshot->id, base::Now());
    telemetry::Log(telemetry::Event::SnapshotRestart,
                   { { "request", aRun.request.requestId }, { "snapshot", snapshot->id } });
  }
  if (best->outcome == model::Outcome::NotRun) {
    best->outcome = *tried;
  }
  return *best;
}

ScatterOutcome
SearchService::RunPinned(Run& aRun, const model::Snapshot& aSnapshot)
{
  model::ScatterRequest request{ .requestId = aRun.request.requestId,
                                 .service = aRun.requestClass->service,
                                 .snapshot = aSnapshot.id,
                                 .query = aRun.request.query,
                                 .top = aRun.request.offset + aRun.request.limit,
                                 .policy = aRun.policy,
                                 .remaining = aRun.deadline - base::Now(),
                                 .canary = false,
                                 .groups = TasksOf(aSnapshot) };
  Canary canary;
  bool wantsCanary = this->context.scatter.experiment.canary && request.groups.size() > 1 &&
                     !this->context.quarantine.IsKnownHarmless(aRun.fingerprint);
  if (wantsCanary) {
    // The group follows from the request, so that equal requests meet at one owner.
    canary.group = request.groups[aRun.fingerprint % request.groups.size()].group;
    canary.strict = this->context.quarantine.IsAlarmed(base::Now());
  }
  ScatterOutcome outcome =
    RunScatter(this->context.scatter, this->avoided, aRun.world, request, canary, aRun.deadline);
  auto first = outcome.groups.find(canary.group);
  if (first != outcome.groups.end() && !first->second.shards.empty()) {
    this->context.quarantine.OnAnswered(aRun.fingerprint, base::Now());
  }
  return outcome;
}

void
SearchService::Record(const Run& aRun, const model::SearchResponse& aAnswer)
{
  base::Instant now = base::Now();
  bool answered = !aAnswer.error || aAnswer.coverage.answered > 0;
  telemetry::CompletedRequest finished{ .outcome = aAnswer.outcome,
                                        .refused = !answered,
                                        .late =
                                          now > aRun.started + aRun.requestClass->latencyTarget,
                                        .coverage = aAnswer.coverage.Share(),
                                        .latency = now - aRun.started };
  this->context.metrics.Record(aRun.requestClass->name, finished, now);
}

bool
SearchService::IsReadyEverywhere(const World& aWorld,
                                 const ServiceWorld& aService,
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
      if (!this->context.scatter.cells.LackingGroups(aService.index.service, aSnapshot.id, groups)
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
    auto address = aWorld.addresses.find(owner);
    if (address == aWorld.addresses.end()) {
      return false;
    }
    base::Result<Json::Value> answer = this->context.scatter.peers.Call(
      address->second, "lacking", parameters, CallOptions{ .timeout = kReadyCallTimeout });
    if (!answer || !(*answer)["groups"].isArray() || !(*answer)["groups"].empty()) {
      return false;
    }
  }
  return true;
}

void
SearchService::ProveSnapshots()
{
  WorldPointer world = this->context.world.Get();
  for (const auto& [name, service] : world->services) {
    this->context.snapshots.Forget(service.index);
    for (const std::string& id : this->context.snapshots.ToProve(service.index)) {
      auto snapshot = std::find_if(service.index.snapshots.begin(),
                                   service.index.snapshots.end(),
                                   [&](const model::Snapshot& aEntry) { return aEntry.id == id; });
      if (snapshot != service.index.snapshots.end() &&
          this->IsReadyEverywhere(*world, service, *snapshot)) {
        this->context.snapshots.NoteReady(name, id, base::Now());
        telemetry::Log(telemetry::Event::SnapshotProven,
                       { { "service", name }, { "snapshot", id } });
      }
    }
  }
}

} // namespace sapphirewind::tier
