/// @file A stand-in for one upstream server, with faults on command and its own record of what it
/// ran.
#pragma once

#include <atomic>
#include <condition_variable>
#include <fakes/Corpus.h>
#include <map>
#include <memory>
#include <mutex>
#include <net/Server.h>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace sapphirewind::fakes {

/// How a server behaves at the moment.
struct UpstreamBehaviour
{
  double slowFactor = 1.0;
  bool draining = false;
  bool shedding = false;
  /// Reports no load whatever it has.
  bool hidesLoad = false;
  /// Does not say that it drains, neither in its health nor in-band.
  bool hidesDraining = false;
  /// Answers in all to come that are cut, are given to the wrong request, or leave a shard out.
  size_t cutAnswers = 0;
  size_t swapAnswers = 0;
  size_t partialAnswers = 0;
  /// Answers with a snapshot other than the one asked for.
  size_t wrongSnapshots = 0;
  /// Adds hits of a shard that it was not asked for.
  size_t strayShards = 0;
  /// Runs a booking, then resets the connection.
  size_t resetAfterRun = 0;
  /// For this long after a start, work takes longer, falling evenly to the usual time.
  base::Duration coldFor{ 0 };
  double coldFactor = 5.0;
  std::vector<std::string> snapshots;
};

/// What a server knows of what it ran: the witness for every safety check.
struct UpstreamRecord
{
  uint64_t queriesStarted = 0;
  uint64_t queriesFinished = 0;
  uint64_t cancelled = 0;
  uint64_t shed = 0;
  uint64_t crashes = 0;
  uint64_t connectionsRefused = 0;
  uint64_t peakConnections = 0;
  uint64_t startedWhileLeaving = 0; ///< More than three seconds after it began to drain.
  int64_t busyMicros = 0;
  std::set<std::string> requestsStarted;
  std::map<std::string, uint64_t> bookingsByKey;
  std::set<std::string> bookingRequests;
};

struct UpstreamOptions
{
  std::string name;
  net::Endpoint listen;
  size_t slots = 2;
  size_t connectionLimit = 30;
  base::Duration connectionCost = std::chrono::milliseconds(6);
  ServiceTime time;
  /// Requests that may wait for a slot before the server sheds.
  size_t longestQueue = 16;
  /// Keeps the ids of all requests started, for checks.
  bool recordRequests = true;
  /// A query that contains this text crashes the server that runs it.
  std::string crashText = "crash-the-server";
  base::Duration downAfterCrash = std::chrono::seconds(3);
};

/// Serves queries, bookings, cancellations and health on its own port.
class Upstream
{
public:
  Upstream(UpstreamOptions aOptions, UpstreamBehaviour aBehaviour);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  std::error_code Start();

  void Set(const UpstreamBehaviour& aBehaviour);
  UpstreamBehaviour Behaviour() const;
  /// Breaks every connection and refuses new ones for a time; zero is for good.
  void Crash(base::Duration aDownFor);

  UpstreamRecord Record() const;
  const std::string& Name() const { return this->options.name; }
  uint16_t Port() const { return this->port; }

private:
  /// What a request that waits or runs is told.
  enum class SlotEnd
  {
    Granted,
    Shed,
    Cancelled,
    Crashed
  };
  struct Work
  {
    bool cancelled = false;
  };

  void Listen();
  net::Response Query(const net::Request& aRequest);
  net::Response Book(const net::Request& aRequest);
  net::Response Cancel(const net::Request& aRequest);
  net::Response Health();
  net::Response Stamp(net::Response aResponse);

  void PayForConnection();
  SlotEnd TakeSlot(Work& aWork);
  void GiveSlot();
  /// Sleeps for the service time unless cancelled or crashed.
  SlotEnd Serve(Work& aWork, base::Duration aTime);
  base::Duration TimeFor(const std::string& aRequest);
  bool TakeOne(size_t UpstreamBehaviour::*aCount);
  void NoteStart();

  const UpstreamOptions options;
  mutable std::mutex mutex;
  std::condition_variable changed;
  UpstreamBehaviour behaviour;
  UpstreamRecord record;
  std::unordered_map<std::string, std::shared_ptr<Work>> active;
  size_t inUse = 0;
  size_t waiting = 0;
  uint64_t crashCount = 0;
  bool down = false;
  base::Instant startedAt{};
  base::Instant drainingSince{};
  uint16_t port = 0;
  std::unique_ptr<net::Server> server;
  std::vector<std::unique_ptr<net::Server>> retired;
  std::vector<std::thread> restarts;
};

} // namespace sapphirewind::fakes
