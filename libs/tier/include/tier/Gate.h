/// @file Where an instance admits whole queries, before they cost an upstream anything.
#pragma once

#include <admission/ConcurrencyLimit.h>
#include <admission/RankQueue.h>
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
  Admission Enter(const model::Service& aHandling, base::Instant aDeadline);

  /// An admitted query ended. The wait is the mean that its parts waited for slots.
  void Leave(base::Duration aMeanWait, base::Duration aTook);

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
  int RetryAfter() const;

  mutable std::mutex mutex;
  admission::ConcurrencyLimit limit;
  admission::LimitOptions options;
  admission::RankQueue queue;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters;
  size_t inFlight = 0;
  uint64_t nextId = 1;
  double typicalMicros = 0.0;
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
