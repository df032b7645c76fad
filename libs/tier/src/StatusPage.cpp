#include <tier/StatusPage.h>

#include <base/Random.h>
#include <model/FieldReader.h>

namespace sapphirewind::tier {

namespace {

Json::Value
Number(uint64_t aNumber)
{
  return static_cast<Json::UInt64>(aNumber);
}

double
ExtraAttemptShare(const Counters& aCounters)
{
  uint64_t first = aCounters.firstAttempts;
  uint64_t extra = aCounters.hedges + aCounters.retries;
  return first == 0 ? 0.0 : static_cast<double>(extra) / static_cast<double>(first);
}

Json::Value
WriteCounters(const Counters& aCounters)
{
  Json::Value value;
  value["first_attempts"] = Number(aCounters.firstAttempts);
  value["hedges"] = Number(aCounters.hedges);
  value["retries"] = Number(aCounters.retries);
  value["cancelled"] = Number(aCounters.cancelled);
  value["discarded"] = Number(aCounters.discarded);
  value["dropped_early"] = Number(aCounters.droppedEarly);
  value["servers_lost"] = Number(aCounters.serversLost);
  value["store_calls"] = Number(aCounters.storeCalls);
  return value;
}

Json::Value
WriteClasses(const std::vector<telemetry::ClassStatistics>& aClasses)
{
  Json::Value list(Json::arrayValue);
  for (const telemetry::ClassStatistics& figures : aClasses) {
    Json::Value entry;
    entry["class"] = figures.className;
    entry["answered"] = Number(figures.answered);
    entry["refused"] = Number(figures.refused);
    entry["late"] = Number(figures.late);
    entry["unknown"] = Number(figures.unknown);
    entry["rate"] = figures.rate;
    entry["p50_ms"] = figures.p50Ms;
    entry["p99_ms"] = figures.p99Ms;
    entry["late_share"] = figures.lateShare;
    entry["refused_share"] = figures.refusedShare;
    entry["coverage"] = figures.meanCoverage;
    list.append(entry);
  }
  return list;
}

Json::Value
WriteCells(const std::vector<CellStatus>& aCells, base::Instant aNow)
{
  Json::Value list(Json::arrayValue);
  for (const CellStatus& cell : aCells) {
    Json::Value entry;
    entry["service"] = cell.service;
    entry["group"] = cell.group;
    entry["owner"] = cell.owner;
    entry["queued"] = Number(cell.queued);
    entry["in_flight"] = Number(cell.inFlight);
    for (const routing::Replica& replica : cell.replicas) {
      Json::Value server;
      server["server"] = replica.name;
      server["in_flight"] = Number(replica.inFlight);
      server["limit"] = Number(routing::EffectiveLimit(replica, aNow));
      server["latency_ms"] = replica.latencyMs;
      server["leaving"] = replica.leaving;
      server["ejected"] = aNow < replica.ejectedUntil;
      entry["servers"].append(server);
    }
    list.append(entry);
  }
  return list;
}

Json::Value
WriteMembers(const membership::View& aView)
{
  Json::Value list(Json::arrayValue);
  list.append(membership::ToJson(aView.self));
  for (const auto& [name, known] : aView.others) {
    list.append(membership::ToJson(known.member));
  }
  return list;
}

size_t
CountEjected(const std::vector<CellStatus>& aCells, base::Instant aNow)
{
  size_t count = 0;
  for (const CellStatus& cell : aCells) {
    for (const routing::Replica& replica : cell.replicas) {
      count += aNow < replica.ejectedUntil ? 1 : 0;
    }
  }
  return count;
}

config::MetricValue
UnlabelledFigure(const char* aMetric, double aValue)
{
  return config::MetricValue{ .metric = aMetric, .labels = {}, .value = aValue };
}

} // namespace

Json::Value
WriteStatus(const StatusInput& aInput, const Counters& aCounters, base::Instant aNow)
{
  Json::Value value;
  value["name"] = aInput.name;
  value["ready"] = aInput.ready;
  value["stopping"] = aInput.stopping;
  value["generation"] = Number(aInput.servingState->generation);
  value["configuration_age_s"] = std::chrono::duration<double>(aInput.configurationAge).count();
  value["watcher"] = aInput.watcher;
  value["store_unreachable_s"] = std::chrono::duration<double>(aInput.storeUnreachable).count();
  value["serving"] = model::StringsToJson(aInput.servingState->servingInstances);
  value["members"] = WriteMembers(aInput.view);
  value["classes"] = WriteClasses(aInput.classes);
  value["cells"] = WriteCells(aInput.cells, aNow);
  value["counters"] = WriteCounters(aCounters);
  value["alerts"] = Json::Value(Json::arrayValue);
  for (const config::AlertStatus& alert : aInput.alerts) {
    Json::Value entry;
    entry["name"] = alert.name;
    entry["firing"] = alert.firing;
    entry["value"] = alert.value;
    value["alerts"].append(entry);
  }
  value["condemned"] = Json::Value(Json::arrayValue);
  for (const quarantine::QuarantinedRequest& quarantined : aInput.quarantined) {
    value["condemned"].append(base::ToHex(quarantined.fingerprint));
  }
  value["leaving_servers"] = Json::Value(Json::arrayValue);
  for (const LeavingServer& server : aInput.leaving) {
    value["leaving_servers"].append(server.server);
  }
  for (const auto& [name, service] : aInput.servingState->services) {
    Json::Value plan;
    plan["bundles"] = Number(service.assignment.Plan().bundles);
    plan["sharers"] = Number(service.assignment.Plan().sharers);
    value["plans"][name] = plan;
  }
  return value;
}

std::vector<config::MetricValue>
CollectFigures(const StatusInput& aInput, const Counters& aCounters, base::Instant aNow)
{
  std::vector<config::MetricValue> figures = {
    UnlabelledFigure("upstream_extra_share", ExtraAttemptShare(aCounters)),
    UnlabelledFigure("store_unreachable_s",
                     std::chrono::duration<double>(aInput.storeUnreachable).count()),
    UnlabelledFigure("configuration_age_s",
                     std::chrono::duration<double>(aInput.configurationAge).count()),
    UnlabelledFigure("members_serving",
                     static_cast<double>(aInput.servingState->servingInstances.size())),
    UnlabelledFigure("servers_ejected", static_cast<double>(CountEjected(aInput.cells, aNow))),
    UnlabelledFigure("suspects_quarantined", static_cast<double>(aInput.quarantined.size())),
  };
  for (const telemetry::ClassStatistics& entry : aInput.classes) {
    std::vector<config::Label> labels = { { .name = "class", .value = entry.className } };
    auto add = [&](const char* aMetric, double aValue) {
      figures.push_back(
        config::MetricValue{ .metric = aMetric, .labels = labels, .value = aValue });
    };
    add("request_latency_p50_ms", entry.p50Ms);
    add("request_latency_p99_ms", entry.p99Ms);
    add("request_late_share", entry.lateShare);
    add("request_coverage", entry.meanCoverage);
    add("request_refused_share", entry.refusedShare);
    add("request_rate", entry.rate);
  }
  return figures;
}

std::vector<telemetry::Sample>
ToSamples(const std::vector<config::MetricValue>& aFigures, const Counters& aCounters)
{
  std::vector<telemetry::Sample> samples;
  for (const config::MetricValue& figure : aFigures) {
    telemetry::Sample sample{ .metric = figure.metric, .labels = {}, .value = figure.value };
    for (const config::Label& label : figure.labels) {
      sample.labels.push_back(telemetry::SampleLabel{ .name = label.name, .value = label.value });
    }
    samples.push_back(std::move(sample));
  }
  Json::Value counters = WriteCounters(aCounters);
  for (const std::string& name : counters.getMemberNames()) {
    samples.push_back(telemetry::Sample{
      .metric = name + "_total", .labels = {}, .value = counters[name].asDouble() });
  }
  return samples;
}

} // namespace sapphirewind::tier
