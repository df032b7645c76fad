/// @file Where an instance admits whole queries, before they cost an upstream anything.
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

/// The answer to a query that asks to start.
struct Admission
{
  bool admitted = false;
  /// Set when refused.
  std::optional<model::Errc> reason;
  int retryAfterSeconds = 0;
};

/// One service's gate. Thread-safe; callers wait on their own threads.
class Gate
{
public:
  /// Waits for admission, at the latest until the deadline.
  Admission Enter(const model::ClassPolicy& aPolicy, base::Instant aDeadline);

  /// An admitted query ended. The wait is the mean that its parts waited for slots.
  void Leave(const model::ClassPolicy& aPolicy, base::Duration aMeanWait, base::Duration aTook);

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
  void Start(const model::ClassPolicy& aPolicy);
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
  /// A query's typical time without its waits for slots, and, by rank, with them.
  double workMicros = 0.0;
  std::array<double, model::kRanks.size()> tookMicros{};
};

/// The gates of all services. Thread-safe.
class Gates
{
public:
  Gate& Of(const std::string& aService);

private:
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<Gate>> gates;
};

} // namespace sapphirewind::tier
