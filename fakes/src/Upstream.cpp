#include <fakes/Upstream.h>

#include <algorithm>
#include <document/Document.h>
#include <model/Attempt.h>
#include <model/FieldReader.h>

namespace sapphirewind::fakes {

namespace {

constexpr base::Duration kLeavingGrace = std::chrono::seconds(3);
constexpr auto kIdleTimeout = std::chrono::seconds(20);

net::Response
Refusal(int aStatus, const char* aError)
{
  Json::Value body;
  body["error"] = aError;
  body["run"] = false;
  return net::Response{ .status = aStatus, .body = document::Serialize(body) };
}

net::Response
Cut()
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
  for (std::thread& restart : this->restarts) {
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
  using In = const net::Request&;
  this->server->Route("POST", "/v1/query", [this](In aIn) { return this->Query(aIn); });
  this->server->Route("POST", "/v1/book", [this](In aIn) { return this->Book(aIn); });
  this->server->Route("POST", "/v1/cancel", [this](In aIn) { return this->Cancel(aIn); });
  this->server->Route("GET", "/health", [this](In) { return this->Health(); });
  this->server->OnConnectionRefused([this] {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->record.connectionsRefused;
  });
}

void
Upstream::PayForConnection()
{
  // A connection is a thread, so a thread's first request is its connection's.
  thread_local bool paid = false;
  if (!paid) {
    paid = true;
    std::this_thread::sleep_for(this->options.connectionCost);
  }
}

bool
Upstream::TakeOne(size_t UpstreamBehaviour::*aCount)
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
Upstream::TimeFor(const std::string& aRequest)
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

Upstream::SlotEnd
Upstream::TakeSlot(Work& aWork)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  uint64_t crashesBefore = this->crashCount;
  bool tooMany = this->inUse >= this->options.slots && this->waiting >= this->options.longestQueue;
  if (this->behaviour.shedding || tooMany) {
    ++this->record.shed;
    return SlotEnd::Shed;
  }
  ++this->waiting;
  this->changed.wait(lock, [&] {
    return this->inUse < this->options.slots || aWork.cancelled ||
           this->crashCount != crashesBefore;
  });
  --this->waiting;
  if (this->crashCount != crashesBefore || this->down) {
    return SlotEnd::Crashed;
  }
  if (aWork.cancelled) {
    ++this->record.cancelled;
    return SlotEnd::Cancelled;
  }
  ++this->inUse;
  return SlotEnd::Granted;
}

void
Upstream::GiveSlot()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  --this->inUse;
  this->changed.notify_all();
}

Upstream::SlotEnd
Upstream::Serve(Work& aWork, base::Duration aTime)
{
  base::Instant began = base::Now();
  std::unique_lock<std::mutex> lock(this->mutex);
  uint64_t crashesBefore = this->crashCount;
  this->changed.wait_until(
    lock, began + aTime, [&] { return aWork.cancelled || this->crashCount != crashesBefore; });
  this->record.busyMicros += (base::Now() - began).count();
  if (this->crashCount != crashesBefore) {
    return SlotEnd::Crashed;
  }
  if (aWork.cancelled) {
    ++this->record.cancelled;
    return SlotEnd::Cancelled;
  }
  return SlotEnd::Granted;
}

void
Upstream::NoteStart()
{
  bool longDraining = this->behaviour.draining && base::Now() - this->drainingSince > kLeavingGrace;
  this->record.startedWhileLeaving += longDraining ? 1 : 0;
}

net::Response
Upstream::Stamp(net::Response aResponse)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->record.peakConnections =
    std::max<uint64_t>(this->record.peakConnections, this->server->OpenConnections());
  if (this->behaviour.draining && !this->behaviour.hidesDraining) {
    aResponse.headers.push_back(net::Header{ .name = model::kDrainingHeader, .value = "1" });
  }
  double load =
    static_cast<double>(this->inUse + this->waiting) / static_cast<double>(this->options.slots);
  double told = this->behaviour.hidesLoad ? 0.0 : load;
  aResponse.headers.push_back(
    net::Header{ .name = model::kLoadHeader, .value = std::to_string(told) });
  return aResponse;
}

net::Response
Upstream::Query(const net::Request& aRequest)
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return Cut();
    }
  }
  this->PayForConnection();
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  std::optional<model::AttemptRequest> query =
    body ? model::AttemptRequestFromJson(*body) : std::nullopt;
  if (!query) {
    return Refusal(400, "malformed");
  }
  auto work = std::make_shared<Work>();
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::vector<std::string>& have = this->behaviour.snapshots;
    if (std::find(have.begin(), have.end(), query->snapshot) == have.end()) {
      return Refusal(409, "snapshot_unavailable");
    }
    this->active[query->attemptId] = work;
  }
  SlotEnd end = this->TakeSlot(*work);
  if (end == SlotEnd::Granted) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      ++this->record.queriesStarted;
      this->NoteStart();
      if (this->options.recordRequests) {
        this->record.requestsStarted.insert(query->requestId);
      }
    }
    bool crashes = query->query.find(this->options.crashText) != std::string::npos;
    if (crashes) {
      this->Crash(this->options.downAfterCrash);
    }
    end = crashes ? SlotEnd::Crashed : this->Serve(*work, this->TimeFor(query->requestId));
    this->GiveSlot();
  }
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->active.erase(query->attemptId);
    this->record.queriesFinished += end == SlotEnd::Granted ? 1 : 0;
  }
  if (end == SlotEnd::Crashed || this->TakeOne(&UpstreamBehaviour::cutAnswers)) {
    return Cut();
  }
  if (end == SlotEnd::Shed) {
    return this->Stamp(Refusal(503, "shed"));
  }
  if (end == SlotEnd::Cancelled) {
    return this->Stamp(net::Response{ .status = 499, .body = "{}" });
  }
  model::AttemptResponse answer{ .attemptId = query->attemptId,
                                 .requestId = query->requestId,
                                 .snapshot = query->snapshot,
                                 .shards = query->shards,
                                 .hits = {} };
  if (this->TakeOne(&UpstreamBehaviour::partialAnswers) && !answer.shards.empty()) {
    answer.shards.pop_back();
  }
  if (this->TakeOne(&UpstreamBehaviour::strayShards)) {
    answer.shards.push_back("moved-away");
  }
  for (const std::string& shard : answer.shards) {
    std::vector<model::Hit> hits = ShardHits(query->query, query->snapshot, shard);
    answer.hits.insert(answer.hits.end(), hits.begin(), hits.end());
  }
  if (this->TakeOne(&UpstreamBehaviour::swapAnswers)) {
    answer.attemptId = "of-another-attempt";
    answer.requestId = "of-another-request";
  }
  if (this->TakeOne(&UpstreamBehaviour::wrongSnapshots)) {
    answer.snapshot += "-other";
  }
  return this->Stamp(
    net::Response{ .status = 200, .body = document::Serialize(model::ToJson(answer)) });
}

net::Response
Upstream::Book(const net::Request& aRequest)
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return Cut();
    }
  }
  this->PayForConnection();
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  if (!body) {
    return Refusal(400, "malformed");
  }
  model::FieldReader fields(*body);
  std::string attempt = fields.String("attempt");
  std::string request = fields.String("request");
  std::string key = fields.String("key");
  if (!fields.Ok()) {
    return Refusal(400, "malformed");
  }
  Work work;
  SlotEnd end = this->TakeSlot(work);
  if (end != SlotEnd::Granted) {
    return end == SlotEnd::Shed ? this->Stamp(Refusal(503, "shed")) : Cut();
  }
  uint64_t run = 0;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    run = ++this->record.bookingsByKey[key];
    this->record.bookingRequests.insert(request);
    this->NoteStart();
  }
  if (this->TakeOne(&UpstreamBehaviour::resetAfterRun)) {
    this->GiveSlot();
    return Cut();
  }
  end = this->Serve(work, this->TimeFor(request));
  this->GiveSlot();
  if (end == SlotEnd::Crashed) {
    return Cut();
  }
  Json::Value answer;
  answer["attempt"] = attempt;
  answer["request"] = request;
  answer["receipt"] = this->options.name + "/" + key + "/" + std::to_string(run);
  return this->Stamp(net::Response{ .status = 200, .body = document::Serialize(answer) });
}

net::Response
Upstream::Cancel(const net::Request& aRequest)
{
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  if (!body || !(*body)["attempt"].isString()) {
    return Refusal(400, "malformed");
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
    return Cut();
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
Upstream::Set(const UpstreamBehaviour& aBehaviour)
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
  // Started again from a thread of its own: this one may be the server's.
  this->restarts.emplace_back([this, aDownFor] {
    std::this_thread::sleep_for(aDownFor);
    std::lock_guard<std::mutex> again(this->mutex);
    this->retired.push_back(std::move(this->server));
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
