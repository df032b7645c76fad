/// @file Counters and latency histograms of an instance, written by prometheus-cpp.
#pragma once

#include <base/Time.h>
#include <engine/InstanceStatus.h>
#include <memory>
#include <string>

namespace sapphirewind::engine {

enum class Counter
{
  Answered,        ///< Passed an upstream's answer or a whole query on.
  AnsweredPartly,  ///< A query answered with some shards missing.
  RefusedNotRun,   ///< 503: no upstream ran the request.
  FailedUnknown,   ///< 502: an upstream may have run it.
  TimedOut,        ///< 504 at the deadline.
  BadRequest,      ///< A 4xx of our own.
  CallerLeft,      ///< The caller closed its connection first.
  UpstreamSend,    ///< Requests sent to upstreams.
  Hedge,           ///< Of these, second ones beside an open first.
  AttemptFailed,   ///< Attempts without a usable answer.
  BudgetExhausted, ///< Second sends that the budget kept back.
  StoreCall,       ///< Calls to the platform's store.
  StoreCallFailed, ///< Of these, without a usable answer.
  PeerCall,        ///< Calls to other instances.
  PeerCallFailed   ///< Of these, without a usable answer.
};

class Metrics
{
public:
  Metrics();
  ~Metrics();

  void Count(Counter aCounter, uint64_t aBy = 1);

  /// Counts a request that ended by its route's rank and outcome, and adds its latency.
  void ObserveRequest(int aRank, Counter aOutcome, base::Duration aLatency);

  /// How much later than asked for the event loop woke up.
  void ObserveLoopLag(base::Duration aLag);

  /// The usual metrics text, with what is believed now.
  std::string Write(const InstanceStatus& aStatus);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::engine
