#include <engine/Metrics.h>

#include <algorithm>
#include <array>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sapphirewind::engine {

namespace {

constexpr size_t kCounterCount = static_cast<size_t>(Counter::PeerCallFailed) + 1;
constexpr std::array<const char*, kCounterCount> kCounterNames = {
  "answered",         "answered_partly", "refused_not_run",   "failed_unknown", "timed_out",
  "bad_request",      "caller_left",     "upstream_send",     "hedge",          "attempt_failed",
  "budget_exhausted", "store_call",      "store_call_failed", "store_list",     "store_watch",
  "store_write",      "peer_call",       "peer_call_failed"
};
/// Bucket bounds in seconds around the latency objectives of 80 to 1,200 ms.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = { 0.01, 0.025, 0.05, 0.08,
                                                                 0.12, 0.15,  0.2,  0.4,
                                                                 0.8,  1.2,   2.0,  6.0 };

const prometheus::Histogram::BucketBoundaries kLagBounds = { 0.001, 0.005, 0.01, 0.025,
                                                             0.05,  0.1,   0.25, 1.0 };
/// Higher ranks share this rank's series, which bounds the number of series.
constexpr int kMaxRankLabel = 9;

double
Seconds(base::Duration aDuration)
{
  return base::ToFractionalMillis(aDuration) / 1000.0;
}

std::string
RankLabel(int aRank)
{
  return std::to_string(std::clamp(aRank, 0, kMaxRankLabel));
}

} // namespace

struct Metrics::Impl
{
  prometheus::Registry registry;
  std::array<prometheus::Counter*, kCounterCount> counters{};
  prometheus::Family<prometheus::Histogram>* latency = nullptr;
  prometheus::Family<prometheus::Counter>* requests = nullptr;
  prometheus::Family<prometheus::Gauge>* servers = nullptr;
  prometheus::Family<prometheus::Gauge>* statusGauges = nullptr;
  prometheus::Histogram* loopLag = nullptr;
};

Metrics::Metrics()
  : impl(std::make_unique<Impl>())
{
  auto& family = prometheus::BuildCounter()
                   .Name("sapphirewind_events_total")
                   .Help("Requests and calls by what became of them")
                   .Register(this->impl->registry);
  for (size_t index = 0; index < kCounterCount; ++index) {
    this->impl->counters[index] = &family.Add({ { "event", kCounterNames[index] } });
  }
  this->impl->latency = &prometheus::BuildHistogram()
                           .Name("sapphirewind_latency_seconds")
                           .Help("Time from reading a request to its answer")
                           .Register(this->impl->registry);
  this->impl->requests = &prometheus::BuildCounter()
                            .Name("sapphirewind_requests_total")
                            .Help("Requests by their route's rank and by what became of them")
                            .Register(this->impl->registry);
  this->impl->servers = &prometheus::BuildGauge()
                           .Name("sapphirewind_servers")
                           .Help("Known servers by state")
                           .Register(this->impl->registry);
  this->impl->statusGauges = &prometheus::BuildGauge()
                                .Name("sapphirewind_belief")
                                .Help("What the instance believes now")
                                .Register(this->impl->registry);
  this->impl->loopLag = &prometheus::BuildHistogram()
                           .Name("sapphirewind_loop_lag_seconds")
                           .Help("How much later than asked for the event loop woke up")
                           .Register(this->impl->registry)
                           .Add({}, kLagBounds);
}

Metrics::~Metrics() = default;

void
Metrics::Count(Counter aCounter, uint64_t aBy)
{
  this->impl->counters[static_cast<size_t>(aCounter)]->Increment(static_cast<double>(aBy));
}

void
Metrics::ObserveRequest(int aRank, Counter aOutcome, base::Duration aLatency)
{
  std::string rank = RankLabel(aRank);
  const char* outcome = kCounterNames[static_cast<size_t>(aOutcome)];
  this->impl->requests->Add({ { "rank", rank }, { "outcome", outcome } }).Increment();
  this->impl->latency->Add({ { "rank", rank } }, kLatencyBounds).Observe(Seconds(aLatency));
}

void
Metrics::ObserveLoopLag(base::Duration aLag)
{
  this->impl->loopLag->Observe(Seconds(aLag));
}

std::string
Metrics::Write(const InstanceStatus& aStatus)
{
  auto servers = [this](const char* aState, size_t aCount) {
    this->impl->servers->Add({ { "state", aState } }).Set(static_cast<double>(aCount));
  };
  servers("ready", aStatus.serversReady);
  servers("draining", aStatus.serversDraining);
  servers("leaving", aStatus.serversLeaving);
  servers("ejected", aStatus.serversEjected);
  servers("limited", aStatus.serversLimited);
  auto status = [this](const char* aName, double aValue) {
    this->impl->statusGauges->Add({ { "of", aName } }).Set(aValue);
  };
  status("ready", aStatus.ready ? 1.0 : 0.0);
  status("configuration_version", static_cast<double>(aStatus.version));
  status("configuration_age_seconds", Seconds(aStatus.versionAge));
  status("servers_heard_seconds", Seconds(aStatus.serverTableAge));
  status("store_lost", aStatus.storeLost ? 1.0 : 0.0);
  status("lowest_budget", aStatus.lowestBudget);
  status("instances", static_cast<double>(aStatus.instances));
  status("sessions", static_cast<double>(aStatus.sessions));
  status("crash_suspects", static_cast<double>(aStatus.suspects));
  status("log_lines_dropped", static_cast<double>(aStatus.logLinesDropped));
  return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

} // namespace sapphirewind::engine
