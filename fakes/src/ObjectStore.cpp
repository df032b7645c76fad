#include <fakes/ObjectStore.h>

#include <algorithm>
#include <document/Document.h>
#include <optional>

namespace sapphirewind::fakes {

namespace http = engine::http;

namespace {

std::optional<std::string>
QueryValue(const std::string& aQuery, const std::string& aName)
{
  size_t at = ("&" + aQuery).find("&" + aName + "=");
  if (at == std::string::npos) {
    return std::nullopt;
  }
  size_t from = at + aName.size() + 1;
  return aQuery.substr(from, aQuery.find('&', from) - from);
}

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
ObjectStore::Handle(const engine::HttpRequest& aRequest, const HttpServer::Respond& aRespond)
{
  constexpr std::string_view kRoot = "/objects/";
  Mode current;
  {
    std::lock_guard guard(this->lock);
    ++this->calls;
    current = this->mode;
  }
  if (current == Mode::Unresponsive) {
    HttpReply withheld;
    withheld.delivery = HttpReply::Delivery::Withhold;
    aRespond(withheld);
    return;
  }
  std::string target(aRequest.target());
  if (current == Mode::Unavailable || target.compare(0, kRoot.size(), kRoot) != 0) {
    aRespond(JsonReply(current == Mode::Unavailable ? http::status::service_unavailable
                                                    : http::status::not_found));
    return;
  }
  size_t queryStart = target.find('?');
  std::string path = target.substr(kRoot.size(), queryStart - kRoot.size());
  std::string query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
  if (aRequest.method() == http::verb::get) {
    this->Read(path, query, aRespond);
    return;
  }
  aRespond(this->Write(aRequest, path));
}

void
ObjectStore::Read(const std::string& aKind,
                  const std::string& aQuery,
                  const HttpServer::Respond& aRespond)
{
  if (auto watch = QueryValue(aQuery, "watch")) {
    int64_t wait = std::stoll(QueryValue(aQuery, "wait_ms").value_or("0"));
    this->Watch(aKind, std::stoull(*watch), wait, aRespond);
    return;
  }
  std::lock_guard guard(this->lock);
  aRespond(this->List(aKind, QueryValue(aQuery, "after").value_or("")));
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
  if (aRevision < this->oldestRevision) {
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
  timer->async_wait([this, id, timer](engine::ErrorCode aError) {
    if (aError) {
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
ObjectStore::Write(const engine::HttpRequest& aRequest, const std::string& aPath)
{
  size_t slash = aPath.find('/');
  std::string kind = aPath.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : aPath.substr(slash + 1);
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body());
  bool creates = aRequest.method() == http::verb::post;
  if (creates && body) {
    name = (*body)["meta"]["name"].asString();
  }
  bool exists = false;
  {
    std::lock_guard guard(this->lock);
    exists = this->objects[kind].count(name) > 0;
  }
  if (creates == exists) {
    return JsonReply(exists ? http::status::conflict : http::status::not_found);
  }
  if (aRequest.method() == http::verb::delete_) {
    this->ApplyChange(kind, name, nullptr);
    return JsonReply(http::status::ok);
  }
  if (!body) {
    return JsonReply(http::status::bad_request);
  }
  this->ApplyChange(kind, name, &(*body)["spec"]);
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
