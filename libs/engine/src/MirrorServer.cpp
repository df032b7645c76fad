#include "MirrorServer.h"

#include "QuarantineExchange.h"

#include <algorithm>
#include <directory/MirrorTree.h>

namespace sapphirewind::engine {

namespace {

HttpResponse
WithStatus(http::status aStatus)
{
  return HttpResponse(aStatus, 11);
}

} // namespace

MirrorServer::MirrorServer(Options aOptions)
  : options(std::move(aOptions))
  , server(HttpServer::Options{
      .loop = this->options.loop,
      .endpoint = this->options.endpoint,
      .handler = [this](const HttpRequest& aRequest, HttpServer::Respond aRespond) {
        this->Handle(aRequest, std::move(aRespond));
      } })
{
}

std::error_code
MirrorServer::Start()
{
  return this->server.Start();
}

MirrorCache&
MirrorServer::CacheOf(StoreKind aKind)
{
  return aKind == StoreKind::Servers ? this->servers : this->configurations;
}

bool
MirrorServer::CanServe(StoreKind aKind)
{
  return IsFresh(this->CacheOf(aKind), this->options.freshness, base::Now());
}

void
MirrorServer::WriteEra(HttpResponse& aResponse, StoreKind aKind)
{
  if (this->options.eras.IsNamed()) {
    this->options.codec.writeEra(aResponse, this->CacheOf(aKind).position.era);
  }
}

HttpResponse
MirrorServer::Relay(StoreKind aKind, const RelayedBody& aBody, bool aAcceptsGzip)
{
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  base::Duration age = base::Now() - this->CacheOf(aKind).lastAnswerAt;
  response.set(kDataAgeHeader, std::to_string(base::ToMillis(age)));
  this->WriteEra(response, aKind);
  const std::string* compressed = aAcceptsGzip ? aBody.Compressed() : nullptr;
  if (compressed != nullptr) {
    response.set(http::field::content_encoding, kGzip);
  }
  response.body() = compressed == nullptr ? aBody.Text() : *compressed;
  return response;
}

HttpResponse
MirrorServer::RelayNoChanges(StoreKind aKind, const directory::StorePosition& aPosition)
{
  return this->Relay(
    aKind, RelayedBody(this->options.codec.writeNoChanges(aPosition.revision)), false);
}

HttpResponse
MirrorServer::Gone(StoreKind aKind)
{
  HttpResponse response = WithStatus(http::status::gone);
  this->WriteEra(response, aKind);
  return response;
}

size_t
MirrorServer::CountWaiting(StoreKind aKind) const
{
  return static_cast<size_t>(
    std::count_if(this->waiting.begin(), this->waiting.end(), [aKind](const auto& aEntry) {
      return aEntry.second.kind == aKind;
    }));
}

void
MirrorServer::Handle(const HttpRequest& aRequest, HttpServer::Respond aRespond)
{
  if (aRequest.target() == kQuarantineTarget) {
    this->HandleQuarantine(aRequest, aRespond);
    return;
  }
  NamedEra named = this->options.codec.readEra(aRequest);
  auto query = this->options.codec.readQuery(std::string(aRequest.target()), named.era.value_or(0));
  if (!query || aRequest.method() != http::verb::get) {
    aRespond(WithStatus(http::status::not_found));
    return;
  }
  if (!named.era && query->watchFrom) {
    // An instance of an earlier version, or of a store without eras: it takes what is here.
    query->watchFrom->era = this->CacheOf(query->kind).position.era;
  }
  bool mayWait = query->watchFrom && this->CacheOf(query->kind).renewing;
  if (!this->CanServe(query->kind) && !mayWait) {
    aRespond(WithStatus(http::status::service_unavailable));
    return;
  }
  bool acceptsGzip = aRequest[http::field::accept_encoding] == kGzip;
  if (query->watchFrom) {
    this->Watch(*query, acceptsGzip, std::move(aRespond));
  } else {
    this->List(*query, acceptsGzip, aRespond);
  }
}

void
MirrorServer::HandleQuarantine(const HttpRequest& aRequest, const HttpServer::Respond& aRespond)
{
  bool isUpdate = aRequest.method() == http::verb::post;
  std::optional<std::string> body =
    isUpdate ? this->options.onQuarantineUpdate(aRequest.body()) : this->options.listQuarantine();
  if (!body) {
    aRespond(WithStatus(isUpdate ? http::status::bad_request : http::status::service_unavailable));
    return;
  }
  HttpResponse response = WithStatus(body->empty() ? http::status::no_content : http::status::ok);
  response.body() = std::move(*body);
  aRespond(std::move(response));
}

void
MirrorServer::List(const StoreQuery& aQuery, bool aAcceptsGzip, const HttpServer::Respond& aRespond)
{
  const MirrorCache& cache = this->CacheOf(aQuery.kind);
  auto page = cache.pages.find(aQuery.after);
  aRespond(page == cache.pages.end() ? WithStatus(http::status::service_unavailable)
                                     : this->Relay(aQuery.kind, *page->second, aAcceptsGzip));
}

void
MirrorServer::Watch(const StoreQuery& aQuery, bool aAcceptsGzip, HttpServer::Respond aRespond)
{
  WatchResponse answer = FindChanges(this->CacheOf(aQuery.kind), *aQuery.watchFrom);
  switch (answer.status) {
    case WatchStatus::Gone:
      aRespond(this->Gone(aQuery.kind));
      return;
    case WatchStatus::Behind:
      aRespond(WithStatus(http::status::service_unavailable));
      return;
    case WatchStatus::Changes:
      aRespond(this->Relay(aQuery.kind, *answer.body, aAcceptsGzip));
      return;
    case WatchStatus::Wait:
      if (this->CountWaiting(aQuery.kind) >= directory::kMaxMirrorFollowers) {
        aRespond(WithStatus(http::status::service_unavailable));
        return;
      }
      this->Wait(aQuery, aAcceptsGzip, std::move(aRespond));
      return;
  }
}

void
MirrorServer::Wait(const StoreQuery& aQuery, bool aAcceptsGzip, HttpServer::Respond aRespond)
{
  uint64_t number = this->nextNumber++;
  auto entry = this->waiting.emplace(number,
                                     Waiting{ .kind = aQuery.kind,
                                              .position = *aQuery.watchFrom,
                                              .acceptsGzip = aAcceptsGzip,
                                              .respond = std::move(aRespond),
                                              .timer = Timer(this->options.loop) });
  Timer& timer = entry.first->second.timer;
  // The follower must turn elsewhere as soon as the data here is no longer current.
  base::Instant current = this->CacheOf(aQuery.kind).lastAnswerAt + this->options.freshness;
  timer.expires_at(std::min(base::Now() + aQuery.wait, current));
  timer.async_wait([this, number](ErrorCode aError) {
    if (!aError) {
      this->OnWaitOver(number);
    }
  });
}

void
MirrorServer::OnWaitOver(uint64_t aNumber)
{
  auto entry = this->waiting.find(aNumber);
  if (entry == this->waiting.end()) {
    return;
  }
  HttpServer::Respond respond = std::move(entry->second.respond);
  directory::StorePosition position = entry->second.position;
  StoreKind kind = entry->second.kind;
  this->waiting.erase(entry);
  respond(this->CanServe(kind) ? this->RelayNoChanges(kind, position)
                               : WithStatus(http::status::service_unavailable));
}

void
MirrorServer::AnswerWaiting(StoreKind aKind, MirroredUpdate aUpdate)
{
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    auto current = entry++;
    if (current->second.kind != aKind) {
      continue;
    }
    directory::StorePosition position = current->second.position;
    const MirrorCache& cache = this->CacheOf(aKind);
    WatchResponse answer = FindChanges(cache, position);
    bool waitsOn = cache.renewing || aUpdate != MirroredUpdate::None;
    if (answer.status == WatchStatus::Wait && waitsOn) {
      continue;
    }
    bool acceptsGzip = current->second.acceptsGzip;
    HttpServer::Respond respond = std::move(current->second.respond);
    this->waiting.erase(current);
    switch (answer.status) {
      case WatchStatus::Gone:
        respond(this->Gone(aKind));
        break;
      case WatchStatus::Changes:
        respond(this->Relay(aKind, *answer.body, acceptsGzip));
        break;
      case WatchStatus::Wait:
        respond(this->RelayNoChanges(aKind, position));
        break;
      case WatchStatus::Behind:
        respond(WithStatus(http::status::service_unavailable));
        break;
    }
  }
}

void
MirrorServer::RejectWaiting(StoreKind aKind)
{
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    auto current = entry++;
    if (current->second.kind != aKind) {
      continue;
    }
    HttpServer::Respond respond = std::move(current->second.respond);
    this->waiting.erase(current);
    respond(WithStatus(http::status::service_unavailable));
  }
}

} // namespace sapphirewind::engine
