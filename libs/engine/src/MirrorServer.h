/// @file Serves this instance's mirror of the store to other instances, and receives their
/// quarantine updates.
#pragma once

#include <engine/HttpServer.h>
#include <engine/StoreConnection.h>
#include <engine/StoreMirror.h>
#include <engine/Wire.h>
#include <map>

#include "EraObserver.h"

namespace sapphirewind::engine {

/// Response header between instances: the time since the store answered, in milliseconds.
constexpr const char* kDataAgeHeader = "Data-Age-Ms";

class MirrorServer
{
public:
  struct Options
  {
    Loop& loop;
    const StoreCodec& codec;
    const EraObserver& eras;
    Tcp::endpoint endpoint;
    /// Maximum time since the store's last answer for the cache to be served.
    base::Duration freshness{ 0 };
    /// Applies a quarantine update of another instance, and returns the response to it; nothing
    /// when it is malformed.
    std::function<std::optional<std::string>(const std::string&)> onQuarantineUpdate;
    /// What this instance knows of requests that crash servers; nothing while it is learning it.
    std::function<std::optional<std::string>()> listQuarantine;
  };

  explicit MirrorServer(Options aOptions);

  /// Starts listening. Errors: the address cannot be bound.
  std::error_code Start();

  Tcp::endpoint LocalEndpoint() const { return this->server.LocalEndpoint(); }

  void SetFreshness(base::Duration aFreshness) { this->options.freshness = aFreshness; }

  MirrorCache& CacheOf(StoreKind aKind);

  /// Answers the waiting watches of a kind for which there are changes now. After an update without
  /// changes it also answers the others, so that followers know that the data is current.
  void AnswerWaiting(StoreKind aKind, MirroredUpdate aUpdate);

  /// Answers all waiting watches of a kind with 503, so that they use another source.
  void RejectWaiting(StoreKind aKind);

private:
  struct Waiting
  {
    StoreKind kind = StoreKind::Configuration;
    directory::StorePosition position;
    bool acceptsGzip = false;
    HttpServer::Respond respond;
    Timer timer;
  };

  void Handle(const HttpRequest& aRequest, HttpServer::Respond aRespond);
  void HandleQuarantine(const HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  void List(const StoreQuery& aQuery, bool aAcceptsGzip, const HttpServer::Respond& aRespond);
  void Watch(const StoreQuery& aQuery, bool aAcceptsGzip, HttpServer::Respond aRespond);
  void Wait(const StoreQuery& aQuery, bool aAcceptsGzip, HttpServer::Respond aRespond);
  void OnWaitOver(uint64_t aNumber);
  bool CanServe(StoreKind aKind);
  HttpResponse Relay(StoreKind aKind, const RelayedBody& aBody, bool aAcceptsGzip);
  /// Names the era of a cache, unless the store names none.
  void WriteEra(HttpResponse& aResponse, StoreKind aKind);
  HttpResponse RelayNoChanges(StoreKind aKind, const directory::StorePosition& aPosition);
  /// A 410 response, after which a follower lists again; names the era of the cache.
  HttpResponse Gone(StoreKind aKind);
  size_t CountWaiting(StoreKind aKind) const;

  Options options;
  HttpServer server;
  MirrorCache configurations;
  MirrorCache servers;
  /// By a number that is never reused: a timer's handler that was already queued when its watch was
  /// answered finds nothing.
  std::map<uint64_t, Waiting> waiting;
  uint64_t nextNumber = 0;
};

} // namespace sapphirewind::engine
