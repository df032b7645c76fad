/// @file A cell: the request queue, upstream servers, connections and worker threads that an
/// instance has for one group of a service.
///
/// A cell runs one worker thread per request that may be in flight, up to a fixed maximum. A worker
/// selects the next dispatch under the cell's lock, performs the blocking exchange without the lock
/// and processes the result under the lock again.
#pragma once

#include <admission/RankQueue.h>
#include <condition_variable>
#include <config/Settings.h>
#include <map>
#include <memory>
#include <model/Catalog.h>
#include <mutex>
#include <routing/Hedge.h>
#include <routing/Replica.h>
#include <set>
#include <string>
#include <thread>
#include <tier/PauseGuard.h>
#include <tier/PendingTask.h>
#include <tier/SharedState.h>
#include <tier/Upstream.h>
#include <vector>

namespace sapphirewind::tier {

/// State of the instance that its cells use. Must outlive them.
struct CellContext
{
  SharedQuarantine& quarantine;
  LeavingServers& leaving;
  PauseGuard& pauseGuard;
  Counters& counters;
  config::Experiment experiment;
  std::string region;
};

/// Determines how much of the capacity of a group's servers this instance may use.
struct CellRole
{
  /// False for a standby, which is limited to a small share of each server's connections.
  bool owner = true;
  /// Number of instances that own the group jointly.
  size_t sharers = 1;

  auto operator<=>(const CellRole&) const = default;
};

/// A canary request that has run for this long without the loss of its server is considered
/// harmless unless a server was lost recently (SharedQuarantine::HasRecentLoss).
constexpr base::Duration kCanaryPassTime = std::chrono::milliseconds(4);

/// State of a cell as shown on the status page.
struct CellStatus
{
  std::string service;
  std::string group;
  bool owner = true;
  size_t queued = 0;
  size_t inFlight = 0;
  std::vector<routing::Replica> replicas;
};

/// Returns how many requests this instance may have in flight at a server. Pure function.
size_t
MaxInFlightFor(const model::ServerRecord& aServer,
               const CellRole& aRole,
               bool aSameRegion,
               const config::Experiment& aExperiment);

/// Thread-safe.
class Cell
{
public:
  Cell(CellContext& aContext,
       std::string aService,
       std::string aGroup,
       CellRole aRole,
       const std::vector<model::ServerRecord>& aServers);
  /// Blocks until all queued and in-flight requests have ended.
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  void Submit(SearchTask aTask);
  void Submit(BookingWork aWork);

  /// Applies a changed server list or role.
  void Update(CellRole aRole, const std::vector<model::ServerRecord>& aServers);

  /// Whether a server that is not leaving listed the snapshot in its last health report.
  bool HasSnapshot(const std::string& aSnapshot);

  /// Progress of a canary request.
  enum class CanaryState
  {
    Absent,    ///< No such request in this cell: not yet received, or already finished.
    Pending,   ///< Queued, or in flight for less than kCanaryPassTime.
    Passed,    ///< In flight for at least kCanaryPassTime without loss of the server.
    ServerLost ///< A server was lost while it ran the request.
  };
  CanaryState CanaryStateOf(const std::string& aRequestId, base::Instant aNow) const;

  /// Polls the health endpoint of each server.
  void PollHealth();

  CellStatus Status() const;

  /// Time of the last activity if nothing is queued or in flight; empty otherwise.
  std::optional<base::Instant> IdleSince() const;

private:
  struct ServerState
  {
    model::ServerRecord record;
    net::Endpoint endpoint;
    std::shared_ptr<net::ConnectionPool> pool;
    std::set<std::string> snapshots;
    /// Snapshots that the server reported as missing, each with the expiry time of the report.
    std::map<std::string, base::Instant> missingSnapshots;
  };
  struct Dispatch
  {
    PendingTaskPointer task;
    std::shared_ptr<InFlightAttempt> attempt;
    std::shared_ptr<net::ConnectionPool> pool;
    net::Endpoint endpoint;
    model::AttemptRequest request;
    /// PauseGuard::Epoch() at the time the server was selected.
    uint64_t epoch = 0;
  };

  void ApplyServers(const std::vector<model::ServerRecord>& aServers);
  void StartWorkers();
  void RunWorker();
  base::Instant NextWakeTime(base::Instant aNow) const;

  std::optional<Dispatch> NextDispatch(base::Instant aNow);
  std::optional<Dispatch> NextQueued(base::Instant aNow);
  std::optional<Dispatch> NextIsolated(base::Instant aNow);
  std::optional<Dispatch> NextHedge(base::Instant aNow);
  std::optional<size_t> PickReplicaFor(const PendingTask& aTask, base::Instant aNow);
  Dispatch BeginAttempt(PendingTaskPointer aTask, size_t aReplica, base::Instant aNow, bool aHedge);
  void DropLate(base::Instant aNow);
  void ReleaseReservedServer();
  void RefreshLeaving(base::Instant aNow);

  AttemptResult Run(Dispatch& aDispatch);
  void OnAttemptFinished(Dispatch& aDispatch, AttemptResult aResult, bool aServerLost);
  void HandleSearchResult(const PendingTaskPointer& aTask,
                          AttemptResult& aResult,
                          const std::string& aServer);
  void HandleBookingResult(const PendingTaskPointer& aTask, const AttemptResult& aResult);
  void HandleServerLost(const PendingTaskPointer& aTask, const std::string& aServer);
  void RecordAtReplica(const InFlightAttempt& aAttempt,
                       const AttemptResult& aResult,
                       base::Instant aNow);
  void Retry(const PendingTaskPointer& aTask, bool aUsesRetryBudget, model::Errc aReason);
  void Enqueue(const PendingTaskPointer& aTask);

  void FinishComplete(const PendingTaskPointer& aTask, model::AttemptResponse aAnswer);
  void FinishFailed(const PendingTaskPointer& aTask, model::Errc aReason);
  void Finish(const PendingTaskPointer& aTask,
              model::GroupResult aAnswer,
              std::vector<model::Hit> aHits);
  void ReleaseHeldTasks(quarantine::Fingerprint aFingerprint);
  void AbortRemainingAttempts(PendingTask& aTask);

  routing::Replica* FindReplica(const std::string& aServer);
  bool AnyServing() const;

  CellContext& context;
  const std::string service;
  const std::string group;

  mutable std::mutex mutex;
  std::condition_variable changed;
  CellRole role;
  std::vector<routing::Replica> replicas;
  std::map<std::string, ServerState> servers;
  admission::RankQueue queue;
  std::map<uint64_t, PendingTaskPointer> waiting;
  std::vector<PendingTaskPointer> running;
  /// Suspect requests that wait to run in isolation, and the server reserved for the first one.
  std::vector<PendingTaskPointer> isolatedTasks;
  std::string reservedServer;
  /// Identical requests held until their canary finishes, by fingerprint.
  std::map<quarantine::Fingerprint, std::vector<PendingTaskPointer>> tasksHeldByCanary;
  routing::LatencyWindow latency;
  routing::AttemptBudget hedgeBudget;
  routing::AttemptBudget retryBudget;
  base::Instant leavingCheckedAt{};
  base::Instant lastActivity{};
  uint64_t nextId = 1;
  size_t runningWorkers = 0;
  size_t wantedWorkers = 0;
  bool timedWaitActive = false;
  bool stopping = false;
  std::vector<std::thread> workers;
};

} // namespace sapphirewind::tier
