/// Runs many fake upstream servers in one process and registers them, with their index, with the
/// fake platform.
#include <csignal>
#include <document/Document.h>
#include <fakes/Fleet.h>
#include <gflags/gflags.h>
#include <iostream>
#include <net/Connection.h>
#include <platform/Store.h>
#include <regex>
#include <unistd.h>

DEFINE_string(platform,
              "127.0.0.1:7000",
              "The address and port of the fake platform to register with.");
DEFINE_string(control, "127.0.0.1:7100", "The address and port of the control interface.");
DEFINE_string(services,
              "desk:25x3",
              "Services as NAME:GROUPSxREPLICAS[:SLOTS[:CONNECTIONS]], separated by commas.");
DEFINE_string(regions,
              "r1",
              "Regions over which each group's replicas are distributed, separated by commas.");
DEFINE_int32(
  first_port,
  0,
  "The first server's port; further servers use the following ports. 0 picks free ports.");
DEFINE_double(mean_ms, 10.0, "The mean service time, in milliseconds.");
DEFINE_double(sigma, 0.6, "The sigma of the lognormal service time distribution.");
DEFINE_uint64(seed, 1, "The seed from which service times are derived.");
DEFINE_int32(connection_cost_ms,
             6,
             "The time that setting up a new connection takes, in milliseconds.");
DEFINE_bool(record_requests, true, "Record the ids of all started requests, for checks.");

namespace {

using namespace sapphirewind;

std::vector<std::string>
Split(const std::string& aText)
{
  static const std::regex kComma(",");
  return { std::sregex_token_iterator(aText.begin(), aText.end(), kComma, -1), {} };
}

std::optional<fakes::ServicePlan>
ParseService(const std::string& aText)
{
  static const std::regex kPattern(R"(([a-z][a-z0-9_-]*):(\d+)x(\d+)(?::(\d+))?(?::(\d+))?)");
  std::smatch match;
  if (!std::regex_match(aText, match, kPattern)) {
    return std::nullopt;
  }
  fakes::ServicePlan plan;
  plan.name = match[1];
  plan.groups = std::stoul(match[2]);
  plan.replicas = std::stoul(match[3]);
  plan.slots = match[4].matched ? std::stoul(match[4]) : plan.slots;
  plan.connectionLimit = match[5].matched ? std::stoul(match[5]) : plan.connectionLimit;
  plan.regions = Split(FLAGS_regions);
  return plan;
}

bool
ForceWrite(net::ConnectionPool& aPlatform, const std::string& aName, const Json::Value& aValue)
{
  Json::Value body;
  body["name"] = aName;
  body["value"] = aValue;
  net::Request request{ .method = "POST",
                        .path = "/control/force",
                        .body = document::Serialize(body) };
  base::Result<net::Response> answer = aPlatform.Exchange(request, std::chrono::seconds(5));
  return answer && answer->status == 200;
}

bool
Register(fakes::Fleet& aFleet, net::ConnectionPool& aPlatform)
{
  for (const fakes::ServicePlan& plan : aFleet.Options().services) {
    Json::Value servers;
    servers["servers"] = Json::Value(Json::arrayValue);
    for (const model::ServerRecord& record : aFleet.Records(plan.name)) {
      servers["servers"].append(model::ToJson(record));
    }
    Json::Value index = model::ToJson(aFleet.Index(plan.name, { aFleet.Options().serial }));
    if (!ForceWrite(aPlatform, platform::kServersPrefix + plan.name, servers) ||
        !ForceWrite(aPlatform, platform::kIndexPrefix + plan.name, index)) {
      return false;
    }
  }
  return true;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("fake upstream servers, for tests and benchmarks");
  gflags::SetVersionString(SAPPHIREWIND_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  fakes::FleetOptions options{
    .services = {},
    .time = { .meanMs = FLAGS_mean_ms, .sigma = FLAGS_sigma, .seed = FLAGS_seed },
    .connectionCost = std::chrono::milliseconds(FLAGS_connection_cost_ms),
    .firstPort = static_cast<uint16_t>(FLAGS_first_port),
    .serial = 1,
    .recordRequests = FLAGS_record_requests
  };
  for (const std::string& text : Split(FLAGS_services)) {
    std::optional<fakes::ServicePlan> plan = ParseService(text);
    if (!plan) {
      std::cerr << "fake-upstreams: --services has an invalid entry \"" << text << "\"\n";
      return 2;
    }
    options.services.push_back(*plan);
  }
  fakes::Fleet fleet(options);
  if (std::error_code error = fleet.Start()) {
    std::cerr << "fake-upstreams: " << error.message() << "\n";
    return 1;
  }
  net::Endpoint control;
  net::Endpoint platformEndpoint;
  if (!net::ParseEndpoint(FLAGS_control, control) ||
      !net::ParseEndpoint(FLAGS_platform, platformEndpoint)) {
    std::cerr << "fake-upstreams: addresses must be IP:PORT\n";
    return 2;
  }
  fakes::FleetControl interface(fleet, control);
  if (std::error_code error = interface.Start()) {
    std::cerr << "fake-upstreams: " << FLAGS_control << ": " << error.message() << "\n";
    return 1;
  }
  net::ConnectionPool platformPool(platformEndpoint, net::PoolOptions{});
  if (!Register(fleet, platformPool)) {
    std::cerr << "fake-upstreams: cannot register with the fake platform at " << FLAGS_platform
              << "\n";
    return 1;
  }
  pause();
  return 0;
}
