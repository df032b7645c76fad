/// @file A fake of one upstream server, with fault injection and a record of the requests that it
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

/// The current behaviour of a server.
struct UpstreamBehaviour
{
  double slowFactor = 1.0;
  bool draining = false;
  bool shedding = false;
  /// Always reports a load of 0.
  bool hidesLoad = false;
  /// Does not report that it is draining, neither in health responses nor in-band.
  bool hidesDraining = false;
  /// The numbers of further answers whose connection is cut, that name another request, and that
  /// omit a shard, in this order.
  size_t cutAnswers = 0;
  size_t swapAnswers = 0;
  size_t partialAnswers = 0;
  /// The number of further answers that name a snapshot other than the requested one.
  size_t wrongSnapshots = 0;
  /// The number of further answers that add hits of a shard that was not requested.
  size_t strayShards = 0;
  /// The number of further bookings that are run and whose connection is then cut.
  size_t resetAfterRun = 0;
  /// For this long after a start, service times are longer: the factor falls linearly from
  /// coldFactor to 1.
  base::Duration coldFor{ 0 };
  double coldFactor = 5.0;
  std::vector<std::string> snapshots;
};

/// What a server ran and refused. Safety checks compare the answers of instances against it.
struct UpstreamRecord
{
  uint64_t queriesStarted = 0;
  uint64_t queriesFinished = 0;
  uint64_t cancelled = 0;
  uint64_t shed = 0;
  uint64_t crashes = 0;
  uint64_t connectionsRefused = 0;
  uint64_t peakConnections = 0;
  uint64_t startedWhileLeaving = 0; ///< More than 3 s after draining began.
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
  /// Requests that may wait for a slot; the server sheds further ones.
  size_t maxQueueLength = 16;
  /// Records the ids of all started queries, for checks.
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

  void SetBehaviour(const UpstreamBehaviour& aBehaviour);
  UpstreamBehaviour Behaviour() const;
  /// Closes all connections and refuses new ones for a time; zero is permanent.
  void Crash(base::Duration aDownFor);

  UpstreamRecord Record() const;
  const std::string& Name() const { return this->options.name; }
  uint16_t Port() const { return this->port; }

private:
  /// How waiting for a slot, or running in one, ended.
  enum class SlotOutcome
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
  net::Response AddServerHeaders(net::Response aResponse);

  void ApplyConnectionCost();
  SlotOutcome AcquireSlot(Work& aWork);
  void ReleaseSlot();
  /// Sleeps for the service time; returns early on cancellation or a crash.
  SlotOutcome Serve(Work& aWork, base::Duration aTime);
  base::Duration ServiceTimeFor(const std::string& aRequest);
  bool ConsumeOne(size_t UpstreamBehaviour::*aCount);
  void RecordStart();

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
  std::vector<std::unique_ptr<net::Server>> stoppedServers;
  std::vector<std::thread> restartThreads;
};

} // namespace sapphirewind::fakes
