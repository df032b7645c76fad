#include <telemetry/ClassMetrics.h>

#include <algorithm>
#include <base/Random.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>

namespace sapphirewind::telemetry {

namespace {

namespace acc = boost::accumulators;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Mean = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>;

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;

/// The accumulators of one window.
struct Window
{
  Quantile p50{ acc::quantile_probability = kP50 };
  Quantile p99{ acc::quantile_probability = kP99 };
  Mean late;
  Mean refused;
  Mean coverage;
};

struct ClassState
{
  ClassStatistics counters;
  Window current;
  Window previous;
  base::Instant windowStart{};
  base::Duration previousLength{ 0 };
};

void
RotateWindow(ClassState& aState, base::Instant aNow)
{
  base::Duration length = aNow - aState.windowStart;
  if (length < kMetricWindow) {
    return;
  }
  // After two window lengths without a rotation, the collected samples are too old to report.
  bool stale = length >= 2 * kMetricWindow;
  aState.previous = stale ? Window() : aState.current;
  aState.previousLength = kMetricWindow;
  aState.current = Window();
  aState.windowStart = aNow;
}

void
AddSample(Window& aWindow, const CompletedRequest& aRequest)
{
  aWindow.refused(aRequest.refused ? 1.0 : 0.0);
  if (aRequest.refused) {
    return;
  }
  double millis = base::ToFractionalMillis(aRequest.latency);
  aWindow.p50(millis);
  aWindow.p99(millis);
  aWindow.late(aRequest.late ? 1.0 : 0.0);
  aWindow.coverage(aRequest.coverage);
}

ClassStatistics
Summarise(const ClassState& aState)
{
  ClassStatistics statistics = aState.counters;
  bool usePrevious = acc::count(aState.previous.refused) > 0;
  const Window& window = usePrevious ? aState.previous : aState.current;
  if (acc::count(window.refused) == 0) {
    return statistics;
  }
  base::Duration length = usePrevious ? aState.previousLength : base::Duration(kMetricWindow);
  double seconds = std::chrono::duration<double>(length).count();
  statistics.rate = static_cast<double>(acc::count(window.refused)) / seconds;
  statistics.refusedShare = acc::mean(window.refused);
  if (acc::count(window.late) > 0) {
    statistics.p50Ms = acc::p_square_quantile(window.p50);
    statistics.p99Ms = acc::p_square_quantile(window.p99);
    statistics.lateShare = acc::mean(window.late);
    statistics.meanCoverage = acc::mean(window.coverage);
  }
  return statistics;
}

} // namespace

struct ClassMetrics::Shard
{
  std::mutex mutex;
  std::map<std::string, ClassState> classes;
};

ClassMetrics::ClassMetrics()
{
  for (std::unique_ptr<Shard>& shard : this->shards) {
    shard = std::make_unique<Shard>();
  }
}

ClassMetrics::~ClassMetrics() = default;

void
ClassMetrics::Record(const std::string& aClass,
                     const CompletedRequest& aRequest,
                     base::Instant aNow)
{
  Shard& shard = *this->shards[base::Hash64(aClass) % kShards];
  std::lock_guard<std::mutex> lock(shard.mutex);
  ClassState& state = shard.classes[aClass];
  if (state.windowStart == base::Instant{}) {
    state.windowStart = aNow;
  }
  RotateWindow(state, aNow);
  state.counters.className = aClass;
  state.counters.answered += aRequest.refused ? 0 : 1;
  state.counters.refused += aRequest.refused ? 1 : 0;
  state.counters.late += aRequest.late ? 1 : 0;
  state.counters.unknown += aRequest.outcome == model::Outcome::Unknown ? 1 : 0;
  AddSample(state.current, aRequest);
}

std::vector<ClassStatistics>
ClassMetrics::Collect(base::Instant aNow) const
{
  std::vector<ClassStatistics> all;
  for (const std::unique_ptr<Shard>& shard : this->shards) {
    std::lock_guard<std::mutex> lock(shard->mutex);
    for (auto& [name, state] : shard->classes) {
      RotateWindow(state, aNow);
      all.push_back(Summarise(state));
    }
  }
  std::sort(
    all.begin(), all.end(), [](const ClassStatistics& aLeft, const ClassStatistics& aRight) {
      return aLeft.className < aRight.className;
    });
  return all;
}

} // namespace sapphirewind::telemetry
