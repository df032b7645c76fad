/// @file A request to one service: sends attempts to its servers until one responds.
#pragma once

#include <base/Random.h>
#include <directory/RouteTable.h>
#include <dispatch/Outcome.h>
#include <engine/CrashGuard.h>
#include <engine/Metrics.h>
#include <engine/UpstreamPool.h>
#include <json/value.h>

namespace sapphirewind::engine {

/// The parts of the instance that request handling uses.
struct EngineContext
{
  Loop& loop;
  const WireCodec& codec;
  UpstreamPool& upstreams;
  base::Random& random;
  Metrics& metrics;
  CrashGuard& crashGuard;
};

/// A caller's request in progress.
struct IncomingRequest
{
  std::shared_ptr<const HttpRequest> message;
  RequestMeta meta;
  /// May be before it was read; see LoopMonitor.
  base::Instant receivedAt{};
  /// The earlier of the caller's deadline and the route's timeout.
  base::Instant deadline{};
  /// The end of the route's latency objective.
  base::Instant objective{};
  std::shared_ptr<const directory::RouteTable> routes;
  const directory::Route* route = nullptr;
  quarantine::Fingerprint fingerprint = 0;
  /// Servers may have crashed while executing it, so it is sent to one server at a time.
  bool isSuspect = false;
};

/// Describes servers that were lost while they ran a request.
CrashGuard::Loss
MakeLoss(const IncomingRequest& aRequest, std::vector<std::shared_ptr<UpstreamServer>> aLost);

class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
  enum class State
  {
    Pending,  ///< A response is still possible.
    Answered, ///< Result() holds the response.
    Failed    ///< No further attempt is possible; Result() may hold a server's error response.
  };

  struct Options
  {
    EngineContext& context;
    std::shared_ptr<const IncomingRequest> request;
    std::string service;
    /// The time by which a response is needed to meet the latency objective.
    base::Instant answerBy{};
    /// Called after each change of state, never from within Start or Advance.
    std::function<void()> onChange;
  };

  explicit ServiceCall(Options aOptions);

  void Start(base::Instant aNow);

  /// Sends a retry or a hedged request if one is due.
  void Advance(base::Instant aNow);

  /// Sets how many parts the query lacks for its minimum coverage, with parts that are expected in
  /// time counted as received. Extra attempts are admitted according to it.
  void SetShortfall(size_t aParts) { this->shortfall = aParts; }

  /// Whether a server may have capacity before a time. False only if all servers in service limit
  /// their request rate, and this instance's permits come later.
  bool MayHaveCapacity(base::Instant aNow, base::Instant aBefore) const;

  /// The earliest end of the times for which all servers in service want nothing; now if one of
  /// them names none, or if none is in service.
  base::Instant AvailableAt(base::Instant aNow) const;

  /// Whether an attempt is open and its hedge delay is not over.
  bool HasOnTimeAttempt(base::Instant aNow) const;

  /// When Advance must be called next.
  base::Instant NextDue() const { return this->nextDue; }

  /// Cancels all open attempts and closes their connections.
  void Cancel();

  /// Leaves open attempts to complete for a grace period, so that their latency is recorded. If the
  /// call is not answered, a server that is lost in that time is still reported.
  void Detach();

  State CurrentState() const { return this->state; }
  const ExchangeResult& Result() const { return this->result; }
  bool HasResult() const { return this->hasResult; }
  const dispatch::AttemptHistory& History() const { return this->history; }
  const std::string& Service() const { return this->options.service; }
  unsigned Hedges() const { return this->hedges; }
  /// Servers whose connection closed after the request was sent and before a response.
  std::vector<std::shared_ptr<UpstreamServer>> LostServers() const;
  /// Describes the attempts for the log: each server, when the request was first sent to it, the
  /// latency that was expected and the outcome.
  Json::Value Describe() const;
  /// Whether the call belongs in the log record: it went to several servers or was not answered.
  bool ShouldLog() const;

private:
  enum class SendResult
  {
    Sent,
    Deferred,  ///< No server has capacity, or the extra-attempt budget is exhausted; retry later.
    NotAllowed ///< No further attempt is allowed.
  };

  SendResult TrySend(base::Instant aNow);
  /// Until when waiting for a server may still help: the answer is due, or else the deadline.
  base::Instant UsefulUntil(base::Instant aNow) const;
  /// Withdraws an extra attempt from the service's extra-attempt budget if the attempt is
  /// worthwhile and the budget allows it.
  bool AdmitExtraAttempt(const UpstreamServer& aServer, base::Instant aNow);
  void StartAttempt(const std::shared_ptr<UpstreamServer>& aServer, base::Instant aNow);
  std::optional<base::Duration> ExpectedLatencyOfAnother(base::Instant aNow);
  std::shared_ptr<UpstreamServer> ChooseServer(base::Instant aNow);
  /// Whether a server must not be selected now.
  bool IsExcluded(const UpstreamServer& aServer, base::Instant aNow) const;
  UpstreamRequest MakeRequest() const;
  void OnEnd(const std::shared_ptr<Attempt>& aAttempt, ExchangeResult&& aResult);
  /// Adds the number of known servers, and why and for how long some are avoided.
  void DescribeServers(Json::Value& aCall) const;
  void RecordStart(const std::shared_ptr<UpstreamServer>& aServer,
                   base::Duration aExpected,
                   base::Instant aNow);
  void RecordEnd(const UpstreamServer& aServer, dispatch::AttemptOutcome aOutcome);
  /// For an attempt that goes on after this call: reports its server if it is lost.
  Attempt::OnEnd ReportIfLost(const std::shared_ptr<Attempt>& aAttempt) const;
  void Complete(State aState);

  Options options;
  State state = State::Pending;
  std::shared_ptr<dispatch::ServiceTimeEstimate> serviceTime;
  dispatch::AttemptHistory history;
  std::vector<std::shared_ptr<Attempt>> openAttempts;
  struct TriedServer
  {
    std::shared_ptr<UpstreamServer> server;
    base::Instant firstSentAt{};
    /// The expected latency when the server was selected.
    base::Duration expected{ 0 };
    /// The outcome of the latest attempt; empty while it is open.
    std::optional<dispatch::AttemptOutcome> outcome;
    /// Set when the server reported that it did not execute the request, which permits a retry
    /// there.
    std::optional<base::Instant> refusedAt;
  };
  std::vector<TriedServer> triedServers;
  size_t shortfall = 1;
  ExchangeResult result;
  bool hasResult = false;
  unsigned hedges = 0;
  /// How often an extra attempt was due and withheld: over budget, or not worthwhile.
  unsigned withheldAttempts = 0;
  bool sendDue = false;
  base::Instant hedgeAt = base::Instant::max();
  base::Instant nextDue = base::Instant::max();
};

} // namespace sapphirewind::engine
