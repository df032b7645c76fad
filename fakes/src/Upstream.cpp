#include <fakes/Upstream.h>

#include <algorithm>
#include <document/Document.h>
#include <model/Attempt.h>
#include <model/FieldReader.h>

namespace sapphirewind::fakes {

namespace {

constexpr base::Duration kDrainGracePeriod = std::chrono::seconds(3);
constexpr auto kIdleTimeout = std::chrono::seconds(20);

net::Response
RejectResponse(int aStatus, const char* aError)
{
  Json::Value body;
  body["error"] = aError;
  body["run"] = false;
  return net::Response{ .status = aStatus, .body = document::Serialize(body) };
}

net::Response
CutConnection()
{
  net::Response response{ .status = 200, .body = "{}" };
  response.dropConnection = true;
  return response;
}

} // namespace

Upstream::Upstream(UpstreamOptions aOptions, UpstreamBehaviour aBehaviour)
  : options(std::move(aOptions))
  , behaviour(std::move(aBehaviour))
{
}

Upstream::~Upstream()
{
  for (std::thread& restart : this->restartThreads) {
    restart.join();
  }
}

std::error_code
Upstream::Start()
{
  this->port = this->options.listen.port;
  std::lock_guard<std::mutex> lock(this->mutex);
  this->startedAt = base::Now();
  this->Listen();
  std::error_code error = this->server->Start();
  this->port = error ? 0 : this->server->Port();
  return error;
}

void
Upstream::Listen()
{
  net::Endpoint listen = this->options.listen;
  listen.port = this->port;
  this->server = std::make_unique<net::Server>(
    net::ServerOptions{ .listen = listen,
                        .maxConnections = this->options.connectionLimit,
                        .idleTimeout = kIdleTimeout });
  using RequestRef = const net::Request&;
  this->server->Route(
    "POST", "/v1/query", [this](RequestRef aRequest) { return this->Query(aRequest); });
  this->server->Route(
    "POST", "/v1/book", [this](RequestRef aRequest) { return this->Book(aRequest); });
  this->server->Route(
    "POST", "/v1/cancel", [this](RequestRef aRequest) { return this->Cancel(aRequest); });
  this->server->Route("GET", "/health", [this](RequestRef) { return this->Health(); });
  this->server->OnConnectionRefused([this] {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->record.connectionsRefused;
  });
}

void
Upstream::ApplyConnectionCost()
{
  // Each connection has its own thread, so a thread's first request is its connection's first.
  thread_local bool applied = false;
  if (!applied) {
    applied = true;
    std::this_thread::sleep_for(this->options.connectionCost);
  }
}

bool
Upstream::ConsumeOne(size_t UpstreamBehaviour::*aCount)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  size_t& count = this->behaviour.*aCount;
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

base::Duration
Upstream::ServiceTimeFor(const std::string& aRequest)
{
  base::Duration time = DrawServiceTime(this->options.time, aRequest, this->options.name);
  std::lock_guard<std::mutex> lock(this->mutex);
  double factor = this->behaviour.slowFactor;
  base::Duration age = base::Now() - this->startedAt;
  if (age < this->behaviour.coldFor) {
    double left = 1.0 - std::chrono::duration<double>(age) /
                          std::chrono::duration<double>(this->behaviour.coldFor);
    factor *= 1.0 + (this->behaviour.coldFactor - 1.0) * left;
  }
  return base::Duration(static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

Upstream::SlotOutcome
Upstream::AcquireSlot(Work& aWork)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  uint64_t crashesBefore = this->crashCount;
  bool queueFull =
    this->inUse >= this->options.slots && this->waiting >= this->options.maxQueueLength;
  if (this->behaviour.shedding || queueFull) {
    ++this->record.shed;
    return SlotOutcome::Shed;
  }
  ++this->waiting;
  this->changed.wait(lock, [&] {
    return this->inUse < this->options.slots || aWork.cancelled ||
           this->crashCount != crashesBefore;
  });
  --this->waiting;
  if (this->crashCount != crashesBefore || this->down) {
    return SlotOutcome::Crashed;
  }
  if (aWork.cancelled) {
    ++this->record.cancelled;
    return SlotOutcome::Cancelled;
  }
  ++this->inUse;
  return SlotOutcome::Granted;
}

void
Upstream::ReleaseSlot()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  --this->inUse;
  this->changed.notify_all();
}

Upstream::SlotOutcome
Upstream::Serve(Work& aWork, base::Duration aTime)
{
  base::Instant began = base::Now();
  std::unique_lock<std::mutex> lock(this->mutex);
  uint64_t crashesBefore = this->crashCount;
  this->changed.wait_until(
    lock, began + aTime, [&] { return aWork.cancelled || this->crashCount != crashesBefore; });
  this->record.busyMicros += (base::Now() - began).count();
  if (this->crashCount != crashesBefore) {
    return SlotOutcome::Crashed;
  }
  if (aWork.cancelled) {
    ++this->record.cancelled;
    return SlotOutcome::Cancelled;
  }
  return SlotOutcome::Granted;
}

void
Upstream::RecordStart()
{
  bool pastGracePeriod =
    this->behaviour.draining && base::Now() - this->drainingSince > kDrainGracePeriod;
  this->record.startedWhileLeaving += pastGracePeriod ? 1 : 0;
}

net::Response
Upstream::AddServerHeaders(net::Response aResponse)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->record.peakConnections =
    std::max<uint64_t>(this->record.peakConnections, this->server->OpenConnections());
  if (this->behaviour.draining && !this->behaviour.hidesDraining) {
    aResponse.headers.push_back(net::Header{ .name = model::kDrainingHeader, .value = "1" });
  }
  double load =
    static_cast<double>(this->inUse + this->waiting) / static_cast<double>(this->options.slots);
  double reportedLoad = this->behaviour.hidesLoad ? 0.0 : load;
  aResponse.headers.push_back(
    net::Header{ .name = model::kLoadHeader, .value = std::to_string(reportedLoad) });
  return aResponse;
}

net::Response
Upstream::Query(const net::Request& aRequest)
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return CutConnection();
    }
  }
  this->ApplyConnectionCost();
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  std::optional<model::AttemptRequest> query =
    body ? model::AttemptRequestFromJson(*body) : std::nullopt;
  if (!query) {
    return RejectResponse(400, "malformed");
  }
  auto work = std::make_shared<Work>();
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::vector<std::string>& available = this->behaviour.snapshots;
    if (std::find(available.begin(), available.end(), query->snapshot) == available.end()) {
      return RejectResponse(409, "snapshot_unavailable");
    }
    this->active[query->attemptId] = work;
  }
  SlotOutcome outcome = this->AcquireSlot(*work);
  if (outcome == SlotOutcome::Granted) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      ++this->record.queriesStarted;
      this->RecordStart();
      if (this->options.recordRequests) {
        this->record.requestsStarted.insert(query->requestId);
      }
    }
    bool crashes = query->query.find(this->options.crashText) != std::string::npos;
    if (crashes) {
      this->Crash(this->options.downAfterCrash);
    }
    outcome =
      crashes ? SlotOutcome::Crashed : this->Serve(*work, this->ServiceTimeFor(query->requestId));
    this->ReleaseSlot();
  }
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->active.erase(query->attemptId);
    this->record.queriesFinished += outcome == SlotOutcome::Granted ? 1 : 0;
  }
  if (outcome == SlotOutcome::Crashed || this->ConsumeOne(&UpstreamBehaviour::cutAnswers)) {
    return CutConnection();
  }
  if (outcome == SlotOutcome::Shed) {
    return this->AddServerHeaders(RejectResponse(503, "shed"));
  }
  if (outcome == SlotOutcome::Cancelled) {
    return this->AddServerHeaders(net::Response{ .status = 499, .body = "{}" });
  }
  model::AttemptResponse answer{ .attemptId = query->attemptId,
                                 .requestId = query->requestId,
                                 .snapshot = query->snapshot,
                                 .shards = query->shards,
                                 .hits = {} };
  if (this->ConsumeOne(&UpstreamBehaviour::partialAnswers) && !answer.shards.empty()) {
    answer.shards.pop_back();
  }
  if (this->ConsumeOne(&UpstreamBehaviour::strayShards)) {
    answer.shards.push_back("moved-away");
  }
  for (const std::string& shard : answer.shards) {
    std::vector<model::Hit> hits = ShardHits(query->query, query->snapshot, shard);
    answer.hits.insert(answer.hits.end(), hits.begin(), hits.end());
  }
  if (this->ConsumeOne(&UpstreamBehaviour::swapAnswers)) {
    answer.attemptId = "of-another-attempt";
    answer.requestId = "of-another-request";
  }
  if (this->ConsumeOne(&UpstreamBehaviour::wrongSnapshots)) {
    answer.snapshot += "-other";
  }
  return this->AddServerHeaders(
    net::Response{ .status = 200, .body = document::Serialize(model::ToJson(answer)) });
}

net::Response
Upstream::Book(const net::Request& aRequest)
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return CutConnection();
    }
  }
  this->ApplyConnectionCost();
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  if (!body) {
    return RejectResponse(400, "malformed");
  }
  model::FieldReader fields(*body);
  std::string attempt = fields.String("attempt");
  std::string request = fields.String("request");
  std::string key = fields.String("key");
  if (!fields.Ok()) {
    return RejectResponse(400, "malformed");
  }
  Work work;
  SlotOutcome outcome = this->AcquireSlot(work);
  if (outcome != SlotOutcome::Granted) {
    return outcome == SlotOutcome::Shed ? this->AddServerHeaders(RejectResponse(503, "shed"))
                                        : CutConnection();
  }
  uint64_t run = 0;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    run = ++this->record.bookingsByKey[key];
    this->record.bookingRequests.insert(request);
    this->RecordStart();
  }
  if (this->ConsumeOne(&UpstreamBehaviour::resetAfterRun)) {
    this->ReleaseSlot();
    return CutConnection();
  }
  outcome = this->Serve(work, this->ServiceTimeFor(request));
  this->ReleaseSlot();
  if (outcome == SlotOutcome::Crashed) {
    return CutConnection();
  }
  Json::Value answer;
  answer["attempt"] = attempt;
  answer["request"] = request;
  answer["receipt"] = this->options.name + "/" + key + "/" + std::to_string(run);
  return this->AddServerHeaders(
    net::Response{ .status = 200, .body = document::Serialize(answer) });
}

net::Response
Upstream::Cancel(const net::Request& aRequest)
{
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  if (!body || !(*body)["attempt"].isString()) {
    return RejectResponse(400, "malformed");
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->active.find((*body)["attempt"].asString());
  if (found != this->active.end()) {
    found->second->cancelled = true;
    this->changed.notify_all();
  }
  return net::Response{ .status = 200, .body = "{}" };
}

net::Response
Upstream::Health()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->down) {
    return CutConnection();
  }
  Json::Value body;
  body["draining"] = this->behaviour.draining && !this->behaviour.hidesDraining;
  body["snapshots"] = model::StringsToJson(this->behaviour.snapshots);
  double load =
    static_cast<double>(this->inUse + this->waiting) / static_cast<double>(this->options.slots);
  body["load"] = this->behaviour.hidesLoad ? 0.0 : load;
  return net::Response{ .status = 200, .body = document::Serialize(body) };
}

void
Upstream::SetBehaviour(const UpstreamBehaviour& aBehaviour)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (aBehaviour.draining && !this->behaviour.draining) {
    this->drainingSince = base::Now();
  }
  if (aBehaviour.coldFor.count() > 0 && this->behaviour.coldFor.count() == 0) {
    this->startedAt = base::Now();
  }
  this->behaviour = aBehaviour;
}

UpstreamBehaviour
Upstream::Behaviour() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->behaviour;
}

void
Upstream::Crash(base::Duration aDownFor)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->down) {
    return;
  }
  ++this->crashCount;
  ++this->record.crashes;
  this->down = true;
  this->changed.notify_all();
  this->server->StopListening();
  if (aDownFor.count() == 0) {
    return;
  }
  // Restarts on a separate thread, since the calling thread may belong to the server.
  this->restartThreads.emplace_back([this, aDownFor] {
    std::this_thread::sleep_for(aDownFor);
    std::lock_guard<std::mutex> again(this->mutex);
    this->stoppedServers.push_back(std::move(this->server));
    this->Listen();
    this->startedAt = base::Now();
    this->down = false;
    this->server->Start();
  });
}

UpstreamRecord
Upstream::Record() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->record;
}

} // namespace sapphirewind::fakes
