/// @file A fake of the platform's object store with paginated lists, watches, conditional writes,
/// simulated outages and returns from an older copy of itself.
#pragma once

#include <atomic>
#include <deque>
#include <fakes/HttpServer.h>
#include <json/value.h>
#include <map>
#include <mutex>
#include <optional>

namespace sapphirewind::fakes {

class ObjectStore
{
public:
  enum class Mode
  {
    Serving,
    Unresponsive, ///< Accepts requests and never responds.
    Unavailable,  ///< Responds with 503.
    Resetting     ///< Resets each connection.
  };

  explicit ObjectStore(LoopThread& aLoop, uint16_t aPort = 0);
  ~ObjectStore();

  std::string Address() const { return this->server.Address(); }

  /// Writes an object's spec, as an operator or a server would.
  void Put(const std::string& aKind, const std::string& aName, const Json::Value& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

  void SetMode(Mode aMode);
  /// Drops the event history; watches from an earlier revision get 410 Gone.
  void CompactHistory();
  /// Takes a copy of all objects and of the history.
  void TakeCopy();
  /// Returns to the state of the last copy, in the next era: what was written since is gone, and
  /// its revisions are given out again. Pending watches are reset. Precondition: a copy was taken.
  void ReturnFromCopy();
  uint64_t Era() const { return this->era; }
  /// Sets what the header says that names the era: the era if empty; no header for "none".
  void SetEraHeader(const std::string& aText);
  uint64_t Revision() const;
  /// Resets the connections of all pending watches, as a load balancer in front of the store may.
  void CutWatches();
  /// Sets the maximum number of objects on a page of a list.
  void SetPageSize(size_t aObjects);

  size_t Calls() const;
  /// The most calls that came within a second.
  size_t PeakCallsPerSecond() const;
  /// How many objects of a kind calls have removed.
  size_t RemovedByCalls(const std::string& aKind) const;
  /// The number of pending watches of a kind.
  size_t ActiveWatches(const std::string& aKind) const;
  size_t Count(const std::string& aKind) const;

private:
  struct Event
  {
    std::string kind;
    uint64_t revision = 0;
    bool removed = false;
    Json::Value object;
  };
  struct Watcher
  {
    std::string kind;
    uint64_t revision = 0;
    HttpServer::Respond respond;
    std::shared_ptr<engine::Timer> timer;
  };

  /// What a copy holds.
  struct Copy
  {
    uint64_t revision = 0;
    uint64_t oldestRevision = 0;
    std::map<std::string, std::map<std::string, Json::Value>> objects;
    std::deque<Event> history;
  };

  void Handle(const engine::HttpRequest& aRequest, HttpServer::Respond aRespond);
  void CountCall();
  void NameEra(engine::HttpResponse& aResponse) const;
  void Read(const std::string& aKind,
            const std::map<std::string, std::string>& aParameters,
            const HttpServer::Respond& aRespond);
  HttpReply List(const std::string& aKind, const std::string& aAfter) const;
  void Watch(const std::string& aKind, uint64_t aRevision, int64_t aWaitMs, HttpServer::Respond);
  /// Writes the object with a name; a request that creates one names it in its body.
  HttpReply Write(const engine::HttpRequest& aRequest,
                  const std::string& aKind,
                  const std::string& aName);
  void ApplyChange(const std::string& aKind, const std::string& aName, const Json::Value* aSpec);
  HttpReply ChangesSince(const std::string& aKind, uint64_t aRevision) const;
  /// Replies to all pending watches. The caller holds the lock.
  void EndWatches(const HttpReply& aReply);
  void NotifyWatchers(const std::string& aKind);

  LoopThread& loop;
  mutable std::mutex lock;
  Mode mode = Mode::Serving;
  size_t pageSize = 500;
  size_t calls = 0;
  std::map<std::string, size_t> removedByCalls;
  std::deque<base::Instant> recentCalls;
  size_t peakCalls = 0;
  std::atomic<uint64_t> era = 1;
  std::string eraHeader;
  mutable std::mutex eraLock;
  std::optional<Copy> copy;
  uint64_t revision = 1;
  uint64_t oldestRevision = 0;
  std::map<std::string, std::map<std::string, Json::Value>> objects;
  std::deque<Event> history;
  std::map<uint64_t, Watcher> watchers;
  uint64_t nextWatcher = 1;
  HttpServer server;
};

} // namespace sapphirewind::fakes
