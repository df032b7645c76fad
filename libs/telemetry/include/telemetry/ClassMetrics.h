/// @file Request statistics of each class over recent windows, computed with Boost.Accumulators.
#pragma once

#include <array>
#include <base/Time.h>
#include <cstdint>
#include <memory>
#include <model/Work.h>
#include <mutex>
#include <string>
#include <vector>

namespace sapphirewind::telemetry {

/// The result of one completed request.
struct CompletedRequest
{
  model::Outcome outcome = model::Outcome::Ran;
  bool refused = false;
  bool late = false;
  double coverage = 1.0;
  base::Duration latency{ 0 };
};

/// Statistics of one class. Counters are cumulative since process start. Rate, quantiles and means
/// cover the previous window, or the current one if the previous window has no requests.
struct ClassStatistics
{
  std::string className;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t late = 0;
  uint64_t unknown = 0;
  double rate = 0.0;
  double p50Ms = 0.0;
  double p99Ms = 0.0;
  double lateShare = 0.0;
  double refusedShare = 0.0;
  double meanCoverage = 1.0;
};

/// The length of the window over which rates, quantiles and shares are computed.
constexpr base::Duration kMetricWindow = std::chrono::seconds(10);

/// Statistics of all classes, sharded by class name. Each shard has its own lock.
class ClassMetrics
{
public:
  ClassMetrics();
  ~ClassMetrics();

  void Record(const std::string& aClass, const CompletedRequest& aRequest, base::Instant aNow);

  std::vector<ClassStatistics> Collect(base::Instant aNow) const;

private:
  struct Shard;
  static constexpr size_t kShards = 16;
  std::array<std::unique_ptr<Shard>, kShards> shards;
};

} // namespace sapphirewind::telemetry
