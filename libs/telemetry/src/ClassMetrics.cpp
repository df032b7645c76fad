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

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

/// One window's accumulators.
struct Window
{
  Quantile median{ acc::quantile_probability = kMedian };
  Quantile tail{ acc::quantile_probability = kTail };
  Mean late;
  Mean refused;
  Mean coverage;
};

struct ClassState
{
  ClassStatistics counters;
  Window current;
  Window last;
  base::Instant windowStart{};
  base::Duration lastLength{ 0 };
};

void
TurnWindow(ClassState& aState, base::Instant aNow)
{
  base::Duration length = aNow - aState.windowStart;
  if (length < kMetricWindow) {
    return;
  }
  // A window that stood still for long says nothing about now.
  bool stale = length >= 2 * kMetricWindow;
  aState.last = stale ? Window() : aState.current;
  aState.lastLength = kMetricWindow;
  aState.current = Window();
  aState.windowStart = aNow;
}

void
AddTo(Window& aWindow, const CompletedRequest& aFinished)
{
  aWindow.refused(aFinished.refused ? 1.0 : 0.0);
  if (aFinished.refused) {
    return;
  }
  double millis = base::ToFractionalMillis(aFinished.latency);
  aWindow.median(millis);
  aWindow.tail(millis);
  aWindow.late(aFinished.late ? 1.0 : 0.0);
  aWindow.coverage(aFinished.coverage);
}

ClassStatistics
Summarise(const ClassState& aState)
{
  ClassStatistics figures = aState.counters;
  bool useLast = acc::count(aState.last.refused) > 0;
  const Window& window = useLast ? aState.last : aState.current;
  if (acc::count(window.refused) == 0) {
    return figures;
  }
  base::Duration length = useLast ? aState.lastLength : base::Duration(kMetricWindow);
  double seconds = std::chrono::duration<double>(length).count();
  figures.rate = static_cast<double>(acc::count(window.refused)) / seconds;
  figures.refusedShare = acc::mean(window.refused);
  if (acc::count(window.late) > 0) {
    figures.p50Ms = acc::p_square_quantile(window.median);
    figures.p99Ms = acc::p_square_quantile(window.tail);
    figures.lateShare = acc::mean(window.late);
    figures.meanCoverage = acc::mean(window.coverage);
  }
  return figures;
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
                     const CompletedRequest& aFinished,
                     base::Instant aNow)
{
  Shard& shard = *this->shards[base::Hash64(aClass) % kShards];
  std::lock_guard<std::mutex> lock(shard.mutex);
  ClassState& state = shard.classes[aClass];
  if (state.windowStart == base::Instant{}) {
    state.windowStart = aNow;
  }
  TurnWindow(state, aNow);
  state.counters.className = aClass;
  state.counters.answered += aFinished.refused ? 0 : 1;
  state.counters.refused += aFinished.refused ? 1 : 0;
  state.counters.late += aFinished.late ? 1 : 0;
  state.counters.unknown += aFinished.outcome == model::Outcome::Unknown ? 1 : 0;
  AddTo(state.current, aFinished);
}

std::vector<ClassStatistics>
ClassMetrics::Collect(base::Instant aNow) const
{
  std::vector<ClassStatistics> all;
  for (const std::unique_ptr<Shard>& shard : this->shards) {
    std::lock_guard<std::mutex> lock(shard->mutex);
    for (auto& [name, state] : shard->classes) {
      TurnWindow(state, aNow);
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
