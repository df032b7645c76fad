#include <engine/Metrics.h>

#include <array>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sapphirewind::engine {

namespace {

constexpr size_t kCounters = static_cast<size_t>(Counter::StoreCallFailed) + 1;
constexpr std::array<const char*, kCounters> kNames = {
  "answered",         "answered_partly", "refused_not_run",  "failed_unknown", "timed_out",
  "bad_request",      "caller_left",     "upstream_send",    "hedge",          "attempt_failed",
  "budget_exhausted", "store_call",      "store_call_failed"
};
/// Bounds in seconds around the users' objectives of 80 to 1,200 ms.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = { 0.01, 0.025, 0.05, 0.08,
                                                                 0.12, 0.15,  0.2,  0.4,
                                                                 0.8,  1.2,   2.0,  6.0 };

} // namespace

struct Metrics::Impl
{
  prometheus::Registry registry;
  std::array<prometheus::Counter*, kCounters> counters{};
  prometheus::Family<prometheus::Histogram>* latency = nullptr;
};

Metrics::Metrics()
  : impl(std::make_unique<Impl>())
{
  auto& family = prometheus::BuildCounter()
                   .Name("sapphirewind_events_total")
                   .Help("Requests and calls by what became of them")
                   .Register(this->impl->registry);
  for (size_t index = 0; index < kCounters; ++index) {
    this->impl->counters[index] = &family.Add({ { "event", kNames[index] } });
  }
  this->impl->latency = &prometheus::BuildHistogram()
                           .Name("sapphirewind_latency_seconds")
                           .Help("Time from reading a request to its answer")
                           .Register(this->impl->registry);
}

Metrics::~Metrics() = default;

void
Metrics::Count(Counter aCounter, uint64_t aBy)
{
  this->impl->counters[static_cast<size_t>(aCounter)]->Increment(static_cast<double>(aBy));
}

void
Metrics::ObserveLatency(int aRank, base::Duration aLatency)
{
  auto& histogram = this->impl->latency->Add({ { "rank", std::to_string(aRank) } }, kLatencyBounds);
  histogram.Observe(base::ToFractionalMillis(aLatency) / 1000.0);
}

std::string
Metrics::Write() const
{
  return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

} // namespace sapphirewind::engine
