/// @file Answers other instances from what this one heard from the store, and takes their news.
#pragma once

#include <engine/HttpServer.h>
#include <engine/StoreMirror.h>
#include <engine/Wire.h>
#include <list>

namespace sapphirewind::engine {

/// Where instances tell each other of requests that crash servers.
constexpr const char* kQuarantineUpdateTarget = "/crash-news";

class MirrorServer
{
public:
  struct Options
  {
    Loop& loop;
    const StoreCodec& codec;
    Tcp::endpoint endpoint;
    /// How old what the store said may be when it is passed on.
    base::Duration freshness{ 0 };
    /// Whether this instance follows the store itself.
    std::function<bool(StoreKind)> followsStore;
    /// Takes another instance's news of requests that crash servers; false when malformed.
    std::function<bool(const std::string&)> onQuarantineUpdate;
  };

  explicit MirrorServer(Options aOptions);

  /// Listens. Errors: the address cannot be used.
  std::error_code Start();

  Tcp::endpoint LocalEndpoint() const { return this->server.LocalEndpoint(); }

  void SetFreshness(base::Duration aFreshness) { this->options.freshness = aFreshness; }

  MirrorCache& CacheOf(StoreKind aKind);

  /// Answers those that wait for changes of a kind, if there are any now.
  void AnswerWaiting(StoreKind aKind);

  /// Tells all that wait for a kind to ask elsewhere.
  void RejectWaiting(StoreKind aKind);

private:
  struct Waiting
  {
    StoreKind kind = StoreKind::Configuration;
    uint64_t revision = 0;
    HttpServer::Respond respond;
    Timer timer;
  };

  void Handle(const HttpRequest& aRequest, HttpServer::Respond aRespond);
  void List(const StoreQuery& aQuery, const HttpServer::Respond& aRespond);
  void Watch(const StoreQuery& aQuery, HttpServer::Respond aRespond);
  void Wait(const StoreQuery& aQuery, HttpServer::Respond aRespond);
  bool CanServe(StoreKind aKind);

  Options options;
  HttpServer server;
  MirrorCache configurations;
  MirrorCache servers;
  std::list<Waiting> waiting;
};

} // namespace sapphirewind::engine
