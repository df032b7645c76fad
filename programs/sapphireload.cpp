/// @file Generates load on a query tier and measures latency, goodput and errors of its callers.
#include <algorithm>
#include <config/Configuration.h>
#include <document/Document.h>
#include <fakes/Corpus.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <load/Load.h>
#include <load/Plot.h>
#include <map>
#include <model/Catalog.h>
#include <net/Connection.h>
#include <platform/Store.h>
#include <set>

DEFINE_string(platform,
              "127.0.0.1:7000",
              "The address of the platform, from which instances and classes are read.");
DEFINE_string(
  work,
  "",
  "The load to send: CLASS:RATE[..RATE][@FROM-TO], with the prefix \"book/\" for bookings; "
  "several entries are separated by commas; times are in seconds.");
DEFINE_double(seconds, 10.0, "The duration of the load, in seconds.");
DEFINE_double(warm_seconds,
              0.0,
              "Exclude requests scheduled before this time, in seconds, from the results.");
DEFINE_string(window,
              "",
              "Include only requests scheduled in FROM-TO, in seconds, in the results.");
DEFINE_uint64(seed, 1, "The seed of arrival times and queries.");
DEFINE_int32(threads, 256, "The maximum number of concurrent requests.");
DEFINE_uint64(distinct, 0, "The number of distinct queries; 0 makes every query unique.");
DEFINE_double(balancer_lag,
              0.0,
              "Seconds for which an instance that is not ready still receives requests.");
DEFINE_string(upstreams,
              "",
              "The control address of the fake upstreams, from which their counters are read.");
DEFINE_double(
  oracle_mean_ms,
  0.0,
  "The mean service time of the fake upstreams; if above 0, latencies are compared with "
  "the oracle.");
DEFINE_double(oracle_sigma, 0.6, "The sigma of the fake upstreams' service times.");
DEFINE_uint64(oracle_seed, 1, "The seed of the fake upstreams.");
DEFINE_string(json, "", "Write the results to this file as JSON.");
DEFINE_string(svg, "", "Write a plot of the latencies to this file as SVG.");
DEFINE_string(prefix,
              "",
              "The prefix of request ids; by default derived from the seed and the time.");
DEFINE_bool(quiet, false, "Do not print progress.");
DEFINE_bool(print_first, false, "Print the first response.");

namespace {

using namespace sapphirewind;

constexpr base::Duration kCallTimeout = std::chrono::seconds(5);

/// Counters reported by the instances and the fake upstreams.
struct Counters
{
  double firstAttempts = 0;
  double hedges = 0;
  double retries = 0;
  double droppedEarly = 0;
  double started = 0;
  double cancelled = 0;
  double shed = 0;
  double crashes = 0;
  double refusedConnections = 0;
  double busyMs = 0;
};

struct TierDescription
{
  std::vector<net::Endpoint> instances;
  config::Configuration configuration;
  std::vector<model::ServiceIndex> indexes;
};

std::optional<Json::Value>
FetchJson(const net::Endpoint& aEndpoint, const std::string& aPath)
{
  net::Connection connection(aEndpoint, net::ConnectionOptions{ .keepAlive = false });
  base::Result<net::Response> response =
    connection.Send(net::Request{ .path = aPath }, kCallTimeout);
  return response && response->status == 200 ? document::ParseMessage(response->body)
                                             : std::nullopt;
}

std::optional<TierDescription>
ReadTierDescription(platform::Store& aStore)
{
  TierDescription tier;
  base::Result<platform::VersionedValue> instances = aStore.Read(platform::kInstancesObject);
  base::Result<platform::VersionedValue> configuration =
    aStore.Read(platform::kConfigurationObject);
  if (!instances || !configuration) {
    std::cerr << "sapphireload: the platform has no instances or no configuration\n";
    return std::nullopt;
  }
  for (const Json::Value& entry : instances->value["instances"]) {
    std::optional<model::InstanceRecord> record = model::InstanceFromJson(entry);
    net::Endpoint endpoint;
    if (record && net::ParseEndpoint(record->address, endpoint)) {
      tier.instances.push_back(endpoint);
    }
  }
  document::Problems problems;
  std::optional<config::Configuration> parsed =
    config::ParseConfiguration(configuration->value["text"].asString(), problems);
  if (!parsed) {
    return std::nullopt;
  }
  tier.configuration = *parsed;
  std::set<std::string> services;
  for (const config::RequestClass& entry : parsed->classes) {
    services.insert(entry.service);
  }
  for (const std::string& service : services) {
    base::Result<platform::VersionedValue> index = aStore.Read(platform::kIndexPrefix + service);
    std::optional<model::ServiceIndex> read =
      index ? model::IndexFromJson(index->value) : std::nullopt;
    if (read) {
      tier.indexes.push_back(*read);
    }
  }
  return tier;
}

Counters
ReadCounters(const TierDescription& aTier)
{
  Counters counters;
  for (const net::Endpoint& instance : aTier.instances) {
    if (std::optional<Json::Value> status = FetchJson(instance, "/v1/status")) {
      const Json::Value& reported = (*status)["counters"];
      counters.firstAttempts += reported["first_attempts"].asDouble();
      counters.hedges += reported["hedges"].asDouble();
      counters.retries += reported["retries"].asDouble();
      counters.droppedEarly += reported["dropped_early"].asDouble();
    }
  }
  net::Endpoint control;
  if (net::ParseEndpoint(FLAGS_upstreams, control)) {
    if (std::optional<Json::Value> record = FetchJson(control, "/control/record")) {
      counters.started = (*record)["queries_started"].asDouble();
      counters.cancelled = (*record)["cancelled"].asDouble();
      counters.shed = (*record)["shed"].asDouble();
      counters.crashes = (*record)["crashes"].asDouble();
      counters.refusedConnections = (*record)["connections_refused"].asDouble();
      counters.busyMs = (*record)["busy_ms"].asDouble();
    }
  }
  return counters;
}

Json::Value
Difference(const Counters& aBefore, const Counters& aAfter)
{
  Json::Value value;
  double first = aAfter.firstAttempts - aBefore.firstAttempts;
  double started = aAfter.started - aBefore.started;
  value["first_attempts"] = first;
  value["hedges"] = aAfter.hedges - aBefore.hedges;
  value["retries"] = aAfter.retries - aBefore.retries;
  value["dropped_early"] = aAfter.droppedEarly - aBefore.droppedEarly;
  value["upstream_started"] = started;
  value["upstream_cancelled"] = aAfter.cancelled - aBefore.cancelled;
  value["upstream_shed"] = aAfter.shed - aBefore.shed;
  value["upstream_crashes"] = aAfter.crashes - aBefore.crashes;
  value["upstream_connections_refused"] = aAfter.refusedConnections - aBefore.refusedConnections;
  value["upstream_busy_ms"] = aAfter.busyMs - aBefore.busyMs;
  double extra = value["hedges"].asDouble() + value["retries"].asDouble();
  value["extra_share"] = first > 0 ? extra / first : 0.0;
  return value;
}

/// The latencies of an oracle without queueing, network delay and extra attempts: for each query,
/// the maximum over its groups of one drawn service time per group.
std::vector<double>
OracleLatencies(const TierDescription& aTier,
                const std::vector<load::Sample>& aSamples,
                const std::string& aClass)
{
  const config::RequestClass* requestClass = aTier.configuration.FindClass(aClass);
  fakes::ServiceTime time{ .meanMs = FLAGS_oracle_mean_ms,
                           .sigma = FLAGS_oracle_sigma,
                           .seed = FLAGS_oracle_seed };
  std::set<std::string> groups;
  for (const model::ServiceIndex& index : aTier.indexes) {
    if (requestClass && index.service == requestClass->service && !index.snapshots.empty()) {
      for (const model::ShardLocation& place : index.snapshots.front().shards) {
        groups.insert(place.group);
      }
    }
  }
  std::vector<double> latencies;
  for (const load::Sample& sample : aSamples) {
    if (sample.className != aClass || sample.booking || sample.answeredShards == 0) {
      continue;
    }
    double longest = 0.0;
    for (const std::string& group : groups) {
      std::string server = requestClass->service + "-" + group + "-0";
      base::Duration drawn = fakes::DrawServiceTime(time, sample.requestId, server);
      longest = std::max(longest, base::ToFractionalMillis(drawn));
    }
    latencies.push_back(longest);
  }
  return latencies;
}

Json::Value
ToJson(const load::Summary& aSummary, const config::RequestClass& aClass, double aSeconds)
{
  Json::Value value;
  value["class"] = aSummary.className;
  value["rank"] = model::ToText(aClass.rank);
  value["target_ms"] = static_cast<Json::Int64>(base::ToMillis(aClass.latencyTarget));
  value["sent"] = static_cast<Json::UInt64>(aSummary.sent);
  value["answered"] = static_cast<Json::UInt64>(aSummary.answered);
  value["whole"] = static_cast<Json::UInt64>(aSummary.complete);
  value["in_target"] = static_cast<Json::UInt64>(aSummary.inTarget);
  value["refused"] = static_cast<Json::UInt64>(aSummary.refused);
  value["refused_with_retry_after"] = static_cast<Json::UInt64>(aSummary.refusedWithRetryAfter);
  value["unknown"] = static_cast<Json::UInt64>(aSummary.outcomeUnknown);
  value["lost"] = static_cast<Json::UInt64>(aSummary.unanswered);
  value["p50_ms"] = aSummary.p50Ms;
  value["p95_ms"] = aSummary.p95Ms;
  value["p99_ms"] = aSummary.p99Ms;
  value["p999_ms"] = aSummary.p999Ms;
  value["refused_p99_ms"] = aSummary.refusedP99Ms;
  value["coverage"] = aSummary.coverage;
  value["goodput_per_s"] = static_cast<double>(aSummary.inTarget) / aSeconds;
  return value;
}

void
PrintTable(const Json::Value& aResult)
{
  std::cout << std::left << std::setw(14) << "class" << std::setw(11) << "rank" << std::right
            << std::setw(8) << "sent" << std::setw(9) << "answered" << std::setw(8) << "refused"
            << std::setw(6) << "lost" << std::setw(9) << "p50 ms" << std::setw(9) << "p95"
            << std::setw(9) << "p99" << std::setw(9) << "p99.9" << std::setw(10) << "coverage"
            << std::setw(11) << "goodput/s" << std::setw(10) << "in target"
            << "\n";
  for (const Json::Value& entry : aResult["classes"]) {
    double answered = std::max(1.0, entry["answered"].asDouble());
    std::cout << std::left << std::setw(14) << entry["class"].asString() << std::setw(11)
              << entry["rank"].asString() << std::right << std::setw(8) << entry["sent"].asUInt64()
              << std::setw(9) << entry["answered"].asUInt64() << std::setw(8)
              << entry["refused"].asUInt64() << std::setw(6) << entry["lost"].asUInt64()
              << std::fixed << std::setprecision(1) << std::setw(9) << entry["p50_ms"].asDouble()
              << std::setw(9) << entry["p95_ms"].asDouble() << std::setw(9)
              << entry["p99_ms"].asDouble() << std::setw(9) << entry["p999_ms"].asDouble()
              << std::setprecision(4) << std::setw(10) << entry["coverage"].asDouble()
              << std::setprecision(1) << std::setw(11) << entry["goodput_per_s"].asDouble()
              << std::setw(9) << 100.0 * entry["in_target"].asDouble() / answered << "%";
    if (entry.isMember("oracle_p99_ms")) {
      std::cout << "  oracle p99 " << entry["oracle_p99_ms"].asDouble() << " (ratio "
                << std::setprecision(3) << entry["p99_over_oracle"].asDouble() << ")";
    }
    std::cout << "\n";
  }
  const Json::Value& upstream = aResult["upstream"];
  std::cout << std::setprecision(2) << "extra load on upstreams "
            << 100.0 * upstream["extra_share"].asDouble() << "% (hedges " << std::setprecision(0)
            << upstream["hedges"].asDouble() << ", retries " << upstream["retries"].asDouble()
            << " of " << upstream["first_attempts"].asDouble() << ")\n";
}

std::vector<std::string>
ClassNames(const std::vector<load::Stream>& aStreams)
{
  std::vector<std::string> names;
  for (const load::Stream& stream : aStreams) {
    if (std::find(names.begin(), names.end(), stream.className) == names.end()) {
      names.push_back(stream.className);
    }
  }
  return names;
}

bool
ParseWindow(base::Duration& aFrom, base::Duration& aTo)
{
  if (FLAGS_window.empty()) {
    return true;
  }
  std::string error;
  std::vector<load::Stream> parsed = load::ParseStreams("x:1@" + FLAGS_window, aTo, error);
  if (parsed.empty()) {
    std::cerr << "sapphireload: --window must be FROM-TO in seconds\n";
    return false;
  }
  aFrom = parsed.front().from;
  aTo = parsed.front().to;
  return true;
}

int
Run()
{
  base::Duration loadDuration = base::FromFractionalMillis(FLAGS_seconds * 1000.0);
  std::string error;
  std::vector<load::Stream> streams = load::ParseStreams(FLAGS_work, loadDuration, error);
  net::Endpoint platformEndpoint;
  if (!error.empty() || !net::ParseEndpoint(FLAGS_platform, platformEndpoint)) {
    std::cerr << "sapphireload: --work: " << error << "\n";
    return 2;
  }
  platform::HttpStore store(platformEndpoint, kCallTimeout);
  std::optional<TierDescription> tier = ReadTierDescription(store);
  if (!tier) {
    return 1;
  }
  std::vector<std::string> classes = ClassNames(streams);
  for (const std::string& name : classes) {
    if (!tier->configuration.FindClass(name)) {
      std::cerr << "sapphireload: the configuration has no class " << name << "\n";
      return 2;
    }
  }
  base::Duration from = base::FromFractionalMillis(FLAGS_warm_seconds * 1000.0);
  base::Duration to = loadDuration;
  if (!ParseWindow(from, to)) {
    return 2;
  }
  std::string prefix = FLAGS_prefix;
  if (prefix.empty()) {
    prefix = "q" + std::to_string(FLAGS_seed) + "-" + std::to_string(base::WallClockMillis());
  }
  load::LoadOptions options{ .targets = tier->instances,
                             .streams = streams,
                             .seed = FLAGS_seed,
                             .threads = static_cast<size_t>(FLAGS_threads),
                             .distinctQueries = FLAGS_distinct,
                             .balancerLag = base::FromFractionalMillis(FLAGS_balancer_lag * 1000.0),
                             .keepBodies = FLAGS_print_first,
                             .idPrefix = prefix };
  Counters before = ReadCounters(*tier);
  std::vector<load::Sample> samples = load::RunLoad(options, [](size_t aSent, size_t aOf) {
    if (!FLAGS_quiet) {
      std::cerr << "\rsent " << aSent << " of " << aOf << "   " << std::flush;
    }
  });
  if (!FLAGS_quiet) {
    std::cerr << "\n";
  }
  Json::Value result;
  result["seed"] = static_cast<Json::UInt64>(FLAGS_seed);
  result["work"] = FLAGS_work;
  result["upstream"] = Difference(before, ReadCounters(*tier));
  std::vector<load::Sample> inWindow;
  std::copy_if(
    samples.begin(), samples.end(), std::back_inserter(inWindow), [&](const load::Sample& aSample) {
      return aSample.scheduledAt >= from && aSample.scheduledAt < to;
    });
  double seconds = std::chrono::duration<double>(to - from).count();
  for (const std::string& name : classes) {
    const config::RequestClass& requestClass = *tier->configuration.FindClass(name);
    load::Summary summary = load::Summarise(samples, name, requestClass.latencyTarget, from, to);
    Json::Value entry = ToJson(summary, requestClass, seconds);
    if (FLAGS_oracle_mean_ms > 0.0) {
      double oracle = load::Percentile(OracleLatencies(*tier, inWindow, name), 0.99);
      entry["oracle_p99_ms"] = oracle;
      entry["oracle_p50_ms"] = load::Percentile(OracleLatencies(*tier, inWindow, name), 0.5);
      entry["p99_over_oracle"] = oracle > 0.0 ? summary.p99Ms / oracle : 0.0;
    }
    std::map<std::string, uint64_t> errors;
    for (const load::Sample& sample : inWindow) {
      if (sample.className == name && !sample.error.empty()) {
        ++errors[sample.error];
      }
    }
    for (const auto& [code, count] : errors) {
      entry["errors"][code] = static_cast<Json::UInt64>(count);
    }
    result["classes"].append(entry);
  }
  if (FLAGS_print_first && !samples.empty()) {
    std::optional<Json::Value> body = document::ParseMessage(samples.front().body);
    std::cout << document::SerializeIndented(body.value_or(Json::Value())) << "\n";
  }
  PrintTable(result);
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << document::SerializeIndented(result) << "\n";
  }
  if (!FLAGS_svg.empty()) {
    std::ofstream(FLAGS_svg) << load::PlotLatencies(inWindow, classes);
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "generates load on a query tier and measures the results of its callers\n\n"
    "  sapphireload --work dispatch:50,rota:400@5-15 --seconds 20");
  gflags::SetVersionString(SAPPHIREWIND_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_work.empty()) {
    std::cerr << "sapphireload: --work is required; see --help\n";
    return 2;
  }
  return Run();
}
