#include <telemetry/Exposition.h>

#include <map>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace sapphirewind::telemetry {

std::string
WriteExposition(const std::vector<Sample>& aSamples)
{
  std::map<std::string, prometheus::MetricFamily> families;
  for (const Sample& sample : aSamples) {
    prometheus::MetricFamily& family = families[sample.metric];
    family.name = "sapphirewind_" + sample.metric;
    family.help = "See docs/OPERATING.md";
    family.type = prometheus::MetricType::Gauge;
    prometheus::ClientMetric metric;
    for (const SampleLabel& label : sample.labels) {
      metric.label.push_back({ label.name, label.value });
    }
    metric.gauge.value = sample.value;
    family.metric.push_back(metric);
  }
  std::vector<prometheus::MetricFamily> ordered;
  for (auto& [name, family] : families) {
    ordered.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(ordered);
}

} // namespace sapphirewind::telemetry
