/// @file Admission control of whole queries, before any upstream server receives them.
#pragma once

#include <admission/ConcurrencyLimit.h>
#include <admission/RankQueue.h>
#include <array>
#include <base/Time.h>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace sapphirewind::tier {

/// The result of a request for admission.
struct AdmissionDecision
{
  bool admitted = false;
  /// Set when refused.
  std::optional<model::Errc> reason;
  int retryAfterSeconds = 0;
};

/// Admission controller of one service. Thread-safe; Admit() blocks the calling thread.
class AdmissionController
{
public:
  /// Waits until the query is admitted or refused, at most until the deadline.
  AdmissionDecision Admit(const model::ClassPolicy& aPolicy, base::Instant aDeadline);

  /// Records that an admitted query has finished. The wait is the mean time that its parts waited
  /// for slots.
  void OnFinished(const model::ClassPolicy& aPolicy,
                  base::Duration aMeanSlotWait,
                  base::Duration aElapsed);

  double Limit() const;
  size_t InFlight() const;
  size_t Waiting() const;

private:
  struct Waiter
  {
    std::condition_variable wake;
    bool admitted = false;
    bool evicted = false;
  };

  void AdmitWaiting(base::Instant aNow);
  void DropLate(base::Instant aNow);
  void RecordStart(const model::ClassPolicy& aPolicy);
  size_t InFlightAtOrAbove(model::Rank aRank) const;
  int RetryAfter() const;

  mutable std::mutex mutex;
  admission::ConcurrencyLimit limit;
  admission::LimitOptions options;
  admission::RankQueue queue;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters;
  std::array<size_t, model::kRanks.size()> inFlightByRank{};
  std::map<std::string, size_t> inFlightByClass;
  uint64_t nextId = 1;
  /// Moving averages of the query time: without the waits for slots, and per rank including them.
  double workMicros = 0.0;
  std::array<double, model::kRanks.size()> elapsedMicros{};
};

/// The admission controllers of all services, created on first use. Thread-safe.
class AdmissionControllers
{
public:
  AdmissionController& ForService(const std::string& aService);

private:
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<AdmissionController>> controllers;
};

} // namespace sapphirewind::tier
