/// @file Figures for each class of work, over recent windows, kept by Boost.Accumulators.
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

/// One finished request.
struct CompletedRequest
{
  model::Outcome outcome = model::Outcome::Ran;
  bool refused = false;
  bool late = false;
  double coverage = 1.0;
  base::Duration latency{ 0 };
};

/// A class's figures at a moment. Counters run since the start, the rest over the last window.
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

/// The window over which quantiles and shares are taken.
constexpr base::Duration kMetricWindow = std::chrono::seconds(10);

/// All classes' figures, sharded by class, each shard under its own lock.
class ClassMetrics
{
public:
  ClassMetrics();
  ~ClassMetrics();

  void Record(const std::string& aClass, const CompletedRequest& aFinished, base::Instant aNow);

  std::vector<ClassStatistics> Collect(base::Instant aNow) const;

private:
  struct Shard;
  static constexpr size_t kShards = 16;
  std::array<std::unique_ptr<Shard>, kShards> shards;
};

} // namespace sapphirewind::telemetry
