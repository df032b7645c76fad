#include <fakes/SearchServer.h>

#include <sstream>

namespace sapphirewind::fakes {

namespace http = engine::http;

namespace {

constexpr const char* kRequestId = "Sapphirewind-Request-Id";
constexpr size_t kRecords = 12;
constexpr size_t kRecordBytes = 16;

std::string
Serialize(engine::HttpResponse aResponse)
{
  aResponse.prepare_payload();
  std::ostringstream text;
  text << aResponse;
  return text.str();
}

} // namespace

SearchServer::SearchServer(Options aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , server(
      this->options.loop,
      this->options.port,
      [this](const engine::HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
        this->Handle(aRequest, aRespond);
      },
      [this](const engine::HttpRequest& aRequest) {
        std::lock_guard guard(this->lock);
        ++this->abandoned[std::string(aRequest[kRequestId])];
      })
{
}

SearchServer::~SearchServer()
{
  this->options.loop.Run([this] {
    this->server.SetDown(true);
    this->exit.reset();
  });
}

std::string
SearchServer::RecordsOf(const std::string& aService, const std::string& aTarget)
{
  std::string records;
  uint64_t hash = base::Hash64(aService + aTarget);
  for (size_t index = 0; index < kRecords; ++index) {
    hash = base::Hash64(aService, hash + index);
    records += base::ToHex(hash).substr(0, kRecordBytes);
  }
  // A trailing part that is shorter than a record.
  return records + "tail";
}

void
SearchServer::SetBehaviour(const ServerBehaviour& aBehaviour)
{
  std::lock_guard guard(this->lock);
  this->behaviour = aBehaviour;
}

void
SearchServer::SetDown(bool aDown)
{
  this->options.loop.Run([&] { this->server.SetDown(aDown); });
}

void
SearchServer::Restart()
{
  std::lock_guard guard(this->lock);
  ++this->born;
  this->behaviour = {};
  this->leaving.clear();
}

int64_t
SearchServer::Born() const
{
  std::lock_guard guard(this->lock);
  return this->born;
}

void
SearchServer::Register(ObjectStore& aStore,
                       const std::string& aState,
                       const std::string& aAddress) const
{
  Json::Value entry;
  entry["service"] = this->options.service;
  entry["address"] = aAddress.empty() ? this->Address() : aAddress;
  entry["zone"] = this->options.zone;
  entry["version"] = "v1";
  entry["slots"] = this->options.slots;
  entry["state"] = aState;
  entry["cold_remaining_ms"] = 0;
  entry["seq"] = 1;
  entry["born"] = Json::Int64(this->Born());
  aStore.Put("servers", this->options.id, entry);
}

std::map<std::string, int>
SearchServer::Runs() const
{
  std::lock_guard guard(this->lock);
  return this->runs;
}

int
SearchServer::Abandoned(const std::string& aId) const
{
  std::lock_guard guard(this->lock);
  auto found = this->abandoned.find(aId);
  return found == this->abandoned.end() ? 0 : found->second;
}

int
SearchServer::Crashes() const
{
  std::lock_guard guard(this->lock);
  return this->crashes;
}

bool
SearchServer::CrashesOn(const engine::HttpRequest& aRequest) const
{
  return !this->behaviour.crashTarget.empty() && aRequest.target() == this->behaviour.crashTarget;
}

size_t
SearchServer::Arrivals() const
{
  std::lock_guard guard(this->lock);
  return this->arrivals.size();
}

std::vector<SearchServer::Arrival>
SearchServer::AllArrivals() const
{
  std::lock_guard guard(this->lock);
  return this->arrivals;
}

void
SearchServer::SetLeaving(const std::string& aValue)
{
  std::lock_guard guard(this->lock);
  this->leaving = aValue;
}

bool
SearchServer::IsLeaving() const
{
  std::lock_guard guard(this->lock);
  return !this->leaving.empty();
}

bool
SearchServer::HappensWithProbability(double aProbability)
{
  return base::UniformUnit(this->random) < aProbability;
}

void
SearchServer::Handle(const engine::HttpRequest& aRequest, const HttpServer::Respond& aRespond)
{
  std::lock_guard guard(this->lock);
  std::string id(aRequest[kRequestId]);
  this->arrivals.push_back(
    { .id = id, .at = base::Now(), .born = this->born, .saidLeaving = !this->leaving.empty() });
  HttpReply reply;
  reply.response.version(11);
  this->SetCommonHeaders(reply.response, id);
  bool addressedHere = aRequest["Sapphirewind-Target-Instance"] == this->options.id;
  if (!addressedHere || this->HappensWithProbability(this->behaviour.shedProbability)) {
    reply.response.result(addressedHere ? http::status::service_unavailable
                                        : http::status::misdirected_request);
    reply.response.set("Sapphirewind-Not-Executed", "1");
    if (addressedHere && !this->behaviour.retryAfter.empty()) {
      reply.response.set(http::field::retry_after, this->behaviour.retryAfter);
      this->arrivals.back().retryAfter = this->behaviour.retryAfter;
    }
    aRespond(reply);
    return;
  }
  if (this->CrashesOn(aRequest)) {
    ++this->runs[id];
    ++this->crashes;
    this->Crash(aRespond);
    return;
  }
  aRespond(this->Run(aRequest, id));
}

void
SearchServer::Crash(const HttpServer::Respond& aRespond)
{
  if (this->behaviour.listensOnFor == base::Duration(0)) {
    this->server.SetDown(true);
    return;
  }
  HttpReply reset;
  reset.delivery = HttpReply::Delivery::Reset;
  aRespond(reset);
  if (this->exit) {
    return;
  }
  this->exit = std::make_shared<engine::Timer>(this->options.loop.Get());
  this->exit->expires_after(this->behaviour.listensOnFor);
  std::weak_ptr<engine::Timer> waiting = this->exit;
  this->exit->async_wait([this, waiting](engine::ErrorCode aError) {
    if (aError || waiting.expired()) {
      return;
    }
    this->exit.reset();
    this->server.SetDown(true);
  });
}

void
SearchServer::SetCommonHeaders(engine::HttpResponse& aResponse, const std::string& aId) const
{
  aResponse.set(kRequestId, aId);
  if (!this->leaving.empty()) {
    aResponse.set("Server-Leaving", this->leaving);
  }
}

HttpReply
SearchServer::Run(const engine::HttpRequest& aRequest, const std::string& aId)
{
  int run = ++this->runs[aId];
  HttpReply reply;
  reply.delay = this->behaviour.serviceTime;
  reply.response.version(11);
  reply.response.result(http::status::ok);
  this->SetCommonHeaders(reply.response, aId);
  reply.response.set("Sapphirewind-Server-Stamp",
                     this->options.service + "." + this->options.id + "." + aId + "." +
                       std::to_string(run));
  reply.response.set("Sapphirewind-Server-Load", "1,0," + std::to_string(this->options.slots));
  if (this->behaviour.requestRate) {
    reply.response.set("Server-Limit", std::to_string(*this->behaviour.requestRate));
  }
  reply.response.body() = RecordsOf(this->options.service, std::string(aRequest.target()));
  if (this->behaviour.mutateAnswer) {
    reply.rawBytes = this->behaviour.mutateAnswer(Serialize(reply.response));
    reply.delivery = HttpReply::Delivery::Close;
    return reply;
  }
  if (!this->behaviour.status.empty()) {
    std::string text = Serialize(reply.response);
    reply.rawBytes = "HTTP/1.1 " + this->behaviour.status + text.substr(text.find("\r\n"));
    return reply;
  }
  if (this->behaviour.unresponsive) {
    reply.delivery = HttpReply::Delivery::Withhold;
  } else if (this->HappensWithProbability(this->behaviour.resetProbability)) {
    reply.delivery = HttpReply::Delivery::Reset;
  } else if (this->HappensWithProbability(this->behaviour.truncateProbability)) {
    reply.delivery = HttpReply::Delivery::Truncate;
  } else if (this->HappensWithProbability(this->behaviour.failProbability)) {
    reply.response.result(http::status::internal_server_error);
  } else if (this->HappensWithProbability(this->behaviour.extraAnswerProbability)) {
    reply.trailingBytes = Serialize(reply.response);
  }
  return reply;
}

} // namespace sapphirewind::fakes
