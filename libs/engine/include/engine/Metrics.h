/// @file Counters and latency histograms of an instance, written by prometheus-cpp.
#pragma once

#include <base/Time.h>
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
  StoreCallFailed  ///< Of these, without a usable answer.
};

class Metrics
{
public:
  Metrics();
  ~Metrics();

  void Count(Counter aCounter, uint64_t aBy = 1);

  /// Adds an answered request's latency to the histogram of its route's rank.
  void ObserveLatency(int aRank, base::Duration aLatency);

  /// The usual metrics text.
  std::string Write() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sapphirewind::engine
