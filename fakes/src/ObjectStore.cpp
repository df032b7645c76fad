#include <fakes/ObjectStore.h>

#include <algorithm>
#include <document/Document.h>
#include <optional>
#include <uri/RequestTarget.h>

namespace sapphirewind::fakes {

namespace http = engine::http;

namespace {

HttpReply
JsonReply(http::status aStatus, const Json::Value& aBody = Json::Value(Json::objectValue))
{
  HttpReply reply;
  reply.response.result(aStatus);
  reply.response.version(11);
  reply.response.set(http::field::content_type, "application/json");
  reply.response.body() = document::Serialize(aBody);
  return reply;
}

} // namespace

ObjectStore::ObjectStore(LoopThread& aLoop, uint16_t aPort)
  : loop(aLoop)
  , server(aLoop,
           aPort,
           [this](const engine::HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
             this->Handle(aRequest, aRespond);
           })
{
}

ObjectStore::~ObjectStore()
{
  this->loop.Run([this] {
    this->server.SetDown(true);
    std::lock_guard guard(this->lock);
    this->watchers.clear();
  });
}

void
ObjectStore::Put(const std::string& aKind, const std::string& aName, const Json::Value& aSpec)
{
  this->loop.Run([&] { this->ApplyChange(aKind, aName, &aSpec); });
}

void
ObjectStore::Remove(const std::string& aKind, const std::string& aName)
{
  this->loop.Run([&] { this->ApplyChange(aKind, aName, nullptr); });
}

void
ObjectStore::SetMode(Mode aMode)
{
  std::lock_guard guard(this->lock);
  this->mode = aMode;
}

void
ObjectStore::CompactHistory()
{
  this->loop.Run([&] {
    std::lock_guard guard(this->lock);
    this->oldestRevision = ++this->revision;
    this->history.clear();
    this->EndWatches(JsonReply(http::status::gone));
  });
}

void
ObjectStore::TakeCopy()
{
  std::lock_guard guard(this->lock);
  this->copy = Copy{ .revision = this->revision,
                     .oldestRevision = this->oldestRevision,
                     .objects = this->objects,
                     .history = this->history };
}

void
ObjectStore::ReturnFromCopy()
{
  this->loop.Run([&] {
    std::lock_guard guard(this->lock);
    this->revision = this->copy->revision;
    this->oldestRevision = this->copy->oldestRevision;
    this->objects = this->copy->objects;
    this->history = this->copy->history;
    HttpReply reset;
    reset.delivery = HttpReply::Delivery::Reset;
    this->EndWatches(reset);
    ++this->era;
  });
}

void
ObjectStore::SetEraHeader(const std::string& aText)
{
  std::lock_guard guard(this->eraLock);
  this->eraHeader = aText;
}

void
ObjectStore::NameEra(engine::HttpResponse& aResponse) const
{
  std::lock_guard guard(this->eraLock);
  if (this->eraHeader != "none") {
    aResponse.set("Store-Era",
                  this->eraHeader.empty() ? std::to_string(this->era) : this->eraHeader);
  }
}

uint64_t
ObjectStore::Revision() const
{
  std::lock_guard guard(this->lock);
  return this->revision;
}

size_t
ObjectStore::RemovedByCalls(const std::string& aKind) const
{
  std::lock_guard guard(this->lock);
  auto found = this->removedByCalls.find(aKind);
  return found == this->removedByCalls.end() ? 0 : found->second;
}

void
ObjectStore::CountCall()
{
  base::Instant now = base::Now();
  ++this->calls;
  this->recentCalls.push_back(now);
  while (now - this->recentCalls.front() > std::chrono::seconds(1)) {
    this->recentCalls.pop_front();
  }
  this->peakCalls = std::max(this->peakCalls, this->recentCalls.size());
}

size_t
ObjectStore::PeakCallsPerSecond() const
{
  std::lock_guard guard(this->lock);
  return this->peakCalls;
}

void
ObjectStore::CutWatches()
{
  this->loop.Run([&] {
    std::lock_guard guard(this->lock);
    HttpReply reset;
    reset.delivery = HttpReply::Delivery::Reset;
    this->EndWatches(reset);
  });
}

void
ObjectStore::EndWatches(const HttpReply& aReply)
{
  for (auto& [id, watcher] : this->watchers) {
    watcher.timer->cancel();
    watcher.respond(aReply);
  }
  this->watchers.clear();
}

void
ObjectStore::SetPageSize(size_t aObjects)
{
  std::lock_guard guard(this->lock);
  this->pageSize = aObjects;
}

size_t
ObjectStore::Calls() const
{
  std::lock_guard guard(this->lock);
  return this->calls;
}

size_t
ObjectStore::ActiveWatches(const std::string& aKind) const
{
  std::lock_guard guard(this->lock);
  return static_cast<size_t>(
    std::count_if(this->watchers.begin(), this->watchers.end(), [&](const auto& aWatcher) {
      return aWatcher.second.kind == aKind;
    }));
}

size_t
ObjectStore::Count(const std::string& aKind) const
{
  std::lock_guard guard(this->lock);
  auto found = this->objects.find(aKind);
  return found == this->objects.end() ? 0 : found->second.size();
}

void
ObjectStore::Handle(const engine::HttpRequest& aRequest, HttpServer::Respond aRespond)
{
  Mode current;
  {
    std::lock_guard guard(this->lock);
    this->CountCall();
    current = this->mode;
  }
  if (current == Mode::Unresponsive || current == Mode::Resetting) {
    HttpReply lost;
    lost.delivery =
      current == Mode::Resetting ? HttpReply::Delivery::Reset : HttpReply::Delivery::Withhold;
    aRespond(lost);
    return;
  }
  HttpServer::Respond respond = [this, respondAsIs = std::move(aRespond)](HttpReply aReply) {
    this->NameEra(aReply.response);
    respondAsIs(std::move(aReply));
  };
  if (current == Mode::Unavailable) {
    respond(JsonReply(http::status::service_unavailable));
    return;
  }
  auto target = uri::ParseTarget({ aRequest.target().data(), aRequest.target().size() });
  if (!target) {
    respond(JsonReply(http::status::bad_request));
    return;
  }
  bool namesKind =
    target->path.size() >= 2 && target->path.size() <= 3 && target->path.front() == "objects";
  if (!namesKind) {
    respond(JsonReply(http::status::not_found));
    return;
  }
  if (aRequest.method() == http::verb::get) {
    this->Read(target->path[1], target->parameters, respond);
    return;
  }
  std::string name = target->path.size() == 3 ? target->path[2] : "";
  respond(this->Write(aRequest, target->path[1], name));
}

void
ObjectStore::Read(const std::string& aKind,
                  const std::map<std::string, std::string>& aParameters,
                  const HttpServer::Respond& aRespond)
{
  auto valueOf = [&](const char* aName) {
    auto found = aParameters.find(aName);
    return found == aParameters.end() ? "" : found->second;
  };
  if (aParameters.count("watch") > 0) {
    int64_t wait = aParameters.count("wait_ms") > 0 ? std::stoll(valueOf("wait_ms")) : 0;
    this->Watch(aKind, std::stoull(valueOf("watch")), wait, aRespond);
    return;
  }
  std::lock_guard guard(this->lock);
  aRespond(this->List(aKind, valueOf("after")));
}

HttpReply
ObjectStore::List(const std::string& aKind, const std::string& aAfter) const
{
  Json::Value body;
  body["items"] = Json::Value(Json::arrayValue);
  body["has_more"] = false;
  body["current_rev"] = Json::UInt64(this->revision);
  auto kind = this->objects.find(aKind);
  if (kind == this->objects.end()) {
    return JsonReply(http::status::ok, body);
  }
  for (auto object = kind->second.upper_bound(aAfter); object != kind->second.end(); ++object) {
    if (body["items"].size() == this->pageSize) {
      body["has_more"] = true;
      break;
    }
    body["items"].append(object->second);
  }
  return JsonReply(http::status::ok, body);
}

void
ObjectStore::Watch(const std::string& aKind,
                   uint64_t aRevision,
                   int64_t aWaitMs,
                   HttpServer::Respond aRespond)
{
  std::lock_guard guard(this->lock);
  if (aRevision < this->oldestRevision || aRevision > this->revision) {
    aRespond(JsonReply(http::status::gone));
    return;
  }
  bool hasChanges = false;
  for (const Event& event : this->history) {
    hasChanges = hasChanges || (event.kind == aKind && event.revision > aRevision);
  }
  if (hasChanges) {
    aRespond(this->ChangesSince(aKind, aRevision));
    return;
  }
  uint64_t id = this->nextWatcher++;
  auto timer = std::make_shared<engine::Timer>(this->loop.Get());
  this->watchers[id] = Watcher{ aKind, aRevision, std::move(aRespond), timer };
  timer->expires_after(std::chrono::milliseconds(aWaitMs));
  // A wait may be over, and its handler queued, as its watch ends or the store is destroyed.
  std::weak_ptr<engine::Timer> waiting = timer;
  timer->async_wait([this, id, waiting](engine::ErrorCode aError) {
    if (aError || waiting.expired()) {
      return;
    }
    std::lock_guard relock(this->lock);
    auto found = this->watchers.find(id);
    if (found != this->watchers.end()) {
      found->second.respond(this->ChangesSince(found->second.kind, found->second.revision));
      this->watchers.erase(found);
    }
  });
}

HttpReply
ObjectStore::ChangesSince(const std::string& aKind, uint64_t aRevision) const
{
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  body["current_rev"] = Json::UInt64(this->revision);
  for (const Event& event : this->history) {
    if (event.kind == aKind && event.revision > aRevision) {
      Json::Value entry;
      entry["removed"] = event.removed;
      entry["object"] = event.object;
      body["events"].append(entry);
    }
  }
  return JsonReply(http::status::ok, body);
}

HttpReply
ObjectStore::Write(const engine::HttpRequest& aRequest,
                   const std::string& aKind,
                   const std::string& aName)
{
  std::string name = aName;
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body());
  bool creates = aRequest.method() == http::verb::post;
  if (creates && body) {
    name = (*body)["meta"]["name"].asString();
  }
  bool exists = false;
  {
    std::lock_guard guard(this->lock);
    exists = this->objects[aKind].count(name) > 0;
  }
  if (creates == exists) {
    return JsonReply(exists ? http::status::conflict : http::status::not_found);
  }
  if (aRequest.method() == http::verb::delete_) {
    {
      std::lock_guard guard(this->lock);
      ++this->removedByCalls[aKind];
    }
    this->ApplyChange(aKind, name, nullptr);
    return JsonReply(http::status::ok);
  }
  if (!body) {
    return JsonReply(http::status::bad_request);
  }
  this->ApplyChange(aKind, name, &(*body)["spec"]);
  return JsonReply(http::status::ok);
}

void
ObjectStore::ApplyChange(const std::string& aKind,
                         const std::string& aName,
                         const Json::Value* aSpec)
{
  {
    std::lock_guard guard(this->lock);
    auto& kind = this->objects[aKind];
    auto known = kind.find(aName);
    bool unchanged = aSpec != nullptr && known != kind.end() && known->second["spec"] == *aSpec;
    if (unchanged || (aSpec == nullptr && known == kind.end())) {
      return;
    }
    Json::Value object = known == kind.end() ? Json::Value(Json::objectValue) : known->second;
    object["meta"]["name"] = aName;
    object["meta"]["revision"] = Json::UInt64(++this->revision);
    if (aSpec == nullptr) {
      kind.erase(aName);
    } else {
      object["spec"] = *aSpec;
      kind[aName] = object;
    }
    this->history.push_back(
      { .kind = aKind, .revision = this->revision, .removed = aSpec == nullptr, .object = object });
  }
  this->NotifyWatchers(aKind);
}

void
ObjectStore::NotifyWatchers(const std::string& aKind)
{
  std::lock_guard guard(this->lock);
  for (auto watcher = this->watchers.begin(); watcher != this->watchers.end();) {
    auto current = watcher++;
    if (current->second.kind != aKind || this->mode != Mode::Serving) {
      continue;
    }
    current->second.timer->cancel();
    current->second.respond(this->ChangesSince(aKind, current->second.revision));
    this->watchers.erase(current);
  }
}

} // namespace sapphirewind::fakes
