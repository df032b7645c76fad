/// @file The owner's side of one group: its queue, its servers, its connections.
///
/// Worker threads, one for each request that may be in flight, take the next dispatch under the
/// cell's lock, run the blocking exchange outside it, and conclude under it again.
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
#include <tier/Freshness.h>
#include <tier/Shared.h>
#include <tier/Ticket.h>
#include <tier/Upstream.h>
#include <vector>

namespace sapphirewind::tier {

/// What cells share with the rest of the instance. Outlives them.
struct CellContext
{
  SharedQuarantine& quarantine;
  LeavingServers& leaving;
  Freshness& freshness;
  Counters& counters;
  config::Experiment experiment;
  std::string region;
};

/// How much of a group's servers an instance may use.
struct CellRole
{
  /// False for a standby, which uses a small reserve.
  bool owner = true;
  /// Instances that own the group together.
  size_t sharers = 1;

  auto operator<=>(const CellRole&) const = default;
};

/// A request that has run this long without bringing its server down counts as harmless while no
/// alarm is on.
constexpr base::Duration kSurvivalTime = std::chrono::milliseconds(4);

/// Figures of a cell for status pages.
struct CellStatus
{
  std::string service;
  std::string group;
  bool owner = true;
  size_t queued = 0;
  size_t inFlight = 0;
  std::vector<routing::Replica> replicas;
};

/// How many requests one instance may have in flight at a server. Pure.
size_t
CeilingFor(const model::ServerRecord& aServer,
           const CellRole& aRole,
           bool aHome,
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
  /// Waits for work in flight.
  ~Cell();
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  void Submit(SearchTask aTask);
  void Submit(BookingWork aWork);

  /// Takes in a changed list of servers or role.
  void Update(CellRole aRole, const std::vector<model::ServerRecord>& aServers);

  /// Whether some server that can be used has a snapshot, as far as is known.
  bool HasSnapshot(const std::string& aSnapshot);

  /// How far a request's first try has come.
  enum class Survival
  {
    Absent,   ///< Not here, not yet or no more.
    Waiting,  ///< Not with a server for long enough yet.
    Survived, ///< It has run on a server for the survival time, and the server still stands.
    Lost      ///< A server was lost under it.
  };
  Survival SurvivalOf(const std::string& aRequestId, base::Instant aNow) const;

  /// Asks each server for its health.
  void PollHealth();

  CellStatus Status() const;

  /// Since when nothing has been queued or in flight; empty while something is.
  std::optional<base::Instant> IdleSince() const;

private:
  struct ServerState
  {
    model::ServerRecord record;
    net::Endpoint endpoint;
    std::shared_ptr<net::ConnectionPool> pool;
    std::set<std::string> snapshots;
    /// Snapshots it said it lacks, and until when that counts.
    std::map<std::string, base::Instant> lacks;
  };
  struct Dispatch
  {
    TicketPointer ticket;
    std::shared_ptr<LiveAttempt> attempt;
    std::shared_ptr<net::ConnectionPool> pool;
    net::Endpoint endpoint;
    model::AttemptRequest request;
    /// The freshness epoch in which the server was chosen.
    uint64_t epoch = 0;
  };

  void ApplyServers(const std::vector<model::ServerRecord>& aServers);
  void StartWorkers();
  void Work();
  base::Instant NextWake(base::Instant aNow) const;

  std::optional<Dispatch> NextDispatch(base::Instant aNow);
  std::optional<Dispatch> NextQueued(base::Instant aNow);
  std::optional<Dispatch> NextAlone(base::Instant aNow);
  std::optional<Dispatch> NextHedge(base::Instant aNow);
  std::optional<size_t> PickFor(const Ticket& aTicket, base::Instant aNow);
  Dispatch BeginAttempt(TicketPointer aTicket, size_t aReplica, base::Instant aNow, bool aHedge);
  void DropLate(base::Instant aNow);
  void ReleaseReserved();
  void RefreshLeaving(base::Instant aNow);

  AttemptResult Run(Dispatch& aDispatch);
  void Conclude(Dispatch& aDispatch, AttemptResult aResult, bool aServerGone);
  void ConcludeSearch(const TicketPointer& aTicket,
                      AttemptResult& aResult,
                      const std::string& aServer);
  void ConcludeBooking(const TicketPointer& aTicket, const AttemptResult& aResult);
  void ConcludeLost(const TicketPointer& aTicket, const std::string& aServer);
  void NoteAtReplica(const LiveAttempt& aAttempt, const AttemptResult& aResult, base::Instant aNow);
  void Retry(const TicketPointer& aTicket, bool aSpendsBudget, model::Errc aReason);
  void Enqueue(const TicketPointer& aTicket);

  void FinishWhole(const TicketPointer& aTicket, model::AttemptResponse aAnswer);
  void FinishFailed(const TicketPointer& aTicket, model::Errc aReason);
  void Finish(const TicketPointer& aTicket,
              model::GroupResult aAnswer,
              std::vector<model::Hit> aHits);
  void ReleaseCanary(quarantine::Fingerprint aFingerprint);
  void AbortOthers(Ticket& aTicket);

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
  std::map<uint64_t, TicketPointer> waiting;
  std::vector<TicketPointer> running;
  /// Suspects that wait to run alone, and the server reserved for the first of them.
  std::vector<TicketPointer> aloneWaiting;
  std::string aloneServer;
  /// Equal requests that wait for the end of a canary.
  std::map<quarantine::Fingerprint, std::vector<TicketPointer>> canaries;
  routing::LatencyWindow latency;
  routing::AttemptBudget hedgeBudget;
  routing::AttemptBudget retryBudget;
  base::Instant leavingCheckedAt{};
  base::Instant lastWork{};
  uint64_t nextId = 1;
  size_t runningWorkers = 0;
  size_t wantedWorkers = 0;
  bool timerTaken = false;
  bool stopping = false;
  std::vector<std::thread> workers;
};

} // namespace sapphirewind::tier
