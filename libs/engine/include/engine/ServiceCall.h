/// @file One request at one service: the attempts at its servers until one answers.
#pragma once

#include <base/Random.h>
#include <directory/RouteTable.h>
#include <dispatch/Outcome.h>
#include <engine/CrashGuard.h>
#include <engine/Fleet.h>
#include <engine/Metrics.h>
#include <json/value.h>

namespace sapphirewind::engine {

/// What every request needs of the instance.
struct EngineContext
{
  Loop& loop;
  const WireCodec& codec;
  Fleet& fleet;
  base::Random& random;
  Metrics& metrics;
  CrashGuard& crashGuard;
};

/// A caller's request while it is served.
struct IncomingRequest
{
  std::shared_ptr<const HttpRequest> message;
  RequestMeta meta;
  base::Instant receivedAt{};
  /// Until when an answer is of use: the caller's patience and the route's timeout.
  base::Instant deadline{};
  /// Until when an answer counts in full.
  base::Instant objective{};
  std::shared_ptr<const directory::RouteTable> routes;
  const directory::Route* route = nullptr;
  quarantine::Fingerprint fingerprint = 0;
  /// Servers may have crashed under it: it goes to one at a time.
  bool isSuspect = false;
};

class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
  enum class State
  {
    Pending,  ///< An answer may still come.
    Answered, ///< Answer() is there.
    Failed    ///< No answer can come any more; Answer() may hold the server's own failure.
  };

  struct Options
  {
    EngineContext& context;
    std::shared_ptr<const IncomingRequest> request;
    std::string service;
    /// By when the answer must be there to be of full use.
    base::Instant answerBy{};
    /// Called after each change of state, never from within Start or Advance.
    std::function<void()> onChange;
  };

  explicit ServiceCall(Options aOptions);

  void Start(base::Instant aNow);

  /// Sends again or a second time when that is due.
  void Advance(base::Instant aNow);

  /// Tells how many parts the request lacks for an answer, counting those that are under way as
  /// there; this decides what second sends it gets.
  void SetShortfall(size_t aParts) { this->shortfall = aParts; }

  /// Whether an attempt is under way that is not overdue.
  bool IsUnderWay(base::Instant aNow) const;

  /// When Advance has something to do next.
  base::Instant NextDue() const { return this->nextDue; }

  /// Closes all connections under way.
  void Cancel();

  /// Lets what is under way end by itself for a while.
  void Detach();

  State CurrentState() const { return this->state; }
  const ExchangeResult& Answer() const { return this->answer; }
  bool HasAnswer() const { return this->hasAnswer; }
  const dispatch::AttemptHistory& History() const { return this->history; }
  const std::string& Service() const { return this->options.service; }
  unsigned Hedges() const { return this->hedges; }
  /// Servers that broke the connection off while they had the request.
  std::vector<std::shared_ptr<UpstreamServer>> LostAt() const;
  /// What was tried, for the log: each server with when and why it was chosen and how it ended.
  Json::Value Describe() const;
  /// Whether anything happened that a log should tell: more than one try, or no answer.
  bool IsNotable() const;

private:
  enum class Sent
  {
    Yes,
    NotNow, ///< No server with room, or no budget, at this moment.
    Never   ///< No further attempt is allowed.
  };

  Sent TrySend(base::Instant aNow);
  /// Takes a second send from the service's budget if it is worth it and there is one left.
  bool MaySpend(const UpstreamServer& aServer, base::Instant aNow);
  void Launch(const std::shared_ptr<UpstreamServer>& aServer, base::Instant aNow);
  std::optional<base::Duration> ExpectedOfAnother(base::Instant aNow);
  std::shared_ptr<UpstreamServer> Choose(base::Instant aNow);
  /// The servers that must not be asked now.
  bool IsExcluded(const UpstreamServer& aServer, base::Instant aNow) const;
  std::shared_ptr<HttpRequest> MakeRequest(const UpstreamServer& aServer, base::Instant aNow) const;
  void OnEnd(const std::shared_ptr<Attempt>& aAttempt, ExchangeResult&& aResult);
  /// How many servers are known now, and how many cannot be sent to.
  void DescribeServers(Json::Value& aCall) const;
  void NoteStart(const std::shared_ptr<UpstreamServer>& aServer,
                 base::Duration aExpected,
                 base::Instant aNow);
  void NoteEnd(const UpstreamServer& aServer, dispatch::AttemptOutcome aEnd);
  void Settle(State aState);

  Options options;
  State state = State::Pending;
  std::shared_ptr<dispatch::ServiceTimeEstimate> work;
  dispatch::AttemptHistory history;
  std::vector<std::shared_ptr<Attempt>> open;
  struct Try
  {
    std::shared_ptr<UpstreamServer> server;
    base::Instant at{};
    /// The latency that was expected of it when it was chosen.
    base::Duration expected{ 0 };
    /// How it ended last; empty while it is open.
    std::optional<dispatch::AttemptOutcome> end;
    /// Set when the server said that it did not run the request, which lets it be asked again.
    std::optional<base::Instant> refusedAt;
  };
  std::vector<Try> tries;
  size_t shortfall = 1;
  ExchangeResult answer;
  bool hasAnswer = false;
  unsigned hedges = 0;
  /// How often a second send was due and kept back, for the budget or since it would not help.
  unsigned heldBack = 0;
  bool resendDue = false;
  base::Instant hedgeAt = base::Instant::max();
  base::Instant nextDue = base::Instant::max();
};

} // namespace sapphirewind::engine
