#include <fakes/Fleet.h>

#include <document/Document.h>
#include <model/FieldReader.h>
#include <regex>

namespace sapphirewind::fakes {

namespace {

constexpr const char* kLoopback = "127.0.0.1";

void
Add(UpstreamRecord& aTotal, const UpstreamRecord& aRecord)
{
  aTotal.queriesStarted += aRecord.queriesStarted;
  aTotal.queriesFinished += aRecord.queriesFinished;
  aTotal.cancelled += aRecord.cancelled;
  aTotal.shed += aRecord.shed;
  aTotal.crashes += aRecord.crashes;
  aTotal.connectionsRefused += aRecord.connectionsRefused;
  aTotal.peakConnections = std::max(aTotal.peakConnections, aRecord.peakConnections);
  aTotal.startedWhileLeaving += aRecord.startedWhileLeaving;
  aTotal.busyMicros += aRecord.busyMicros;
  aTotal.requestsStarted.insert(aRecord.requestsStarted.begin(), aRecord.requestsStarted.end());
  for (const auto& [key, count] : aRecord.bookingsByKey) {
    aTotal.bookingsByKey[key] += count;
  }
  aTotal.bookingRequests.insert(aRecord.bookingRequests.begin(), aRecord.bookingRequests.end());
}

Json::Value
ToJson(const UpstreamRecord& aRecord, bool aIds)
{
  Json::Value value;
  value["queries_started"] = static_cast<Json::UInt64>(aRecord.queriesStarted);
  value["queries_finished"] = static_cast<Json::UInt64>(aRecord.queriesFinished);
  value["cancelled"] = static_cast<Json::UInt64>(aRecord.cancelled);
  value["shed"] = static_cast<Json::UInt64>(aRecord.shed);
  value["crashes"] = static_cast<Json::UInt64>(aRecord.crashes);
  value["connections_refused"] = static_cast<Json::UInt64>(aRecord.connectionsRefused);
  value["peak_connections"] = static_cast<Json::UInt64>(aRecord.peakConnections);
  value["started_while_leaving"] = static_cast<Json::UInt64>(aRecord.startedWhileLeaving);
  value["busy_ms"] = static_cast<Json::Int64>(aRecord.busyMicros / 1000);
  value["bookings"] = Json::Value(Json::objectValue);
  for (const auto& [key, count] : aRecord.bookingsByKey) {
    value["bookings"][key] = static_cast<Json::UInt64>(count);
  }
  if (aIds) {
    value["requests"] =
      model::StringsToJson({ aRecord.requestsStarted.begin(), aRecord.requestsStarted.end() });
    value["booking_requests"] =
      model::StringsToJson({ aRecord.bookingRequests.begin(), aRecord.bookingRequests.end() });
  }
  return value;
}

} // namespace

Fleet::Fleet(FleetOptions aOptions)
  : options(std::move(aOptions))
{
  uint16_t nextPort = this->options.firstPort;
  for (const ServicePlan& plan : this->options.services) {
    for (size_t group = 0; group < plan.groups; ++group) {
      for (size_t replica = 0; replica < plan.replicas; ++replica) {
        uint16_t port = nextPort == 0 ? 0 : nextPort++;
        std::string region = plan.regions[replica % plan.regions.size()];
        UpstreamOptions upstream{ .name = ServerName(plan.name, group, replica),
                                  .listen = { .address = kLoopback, .port = port },
                                  .slots = plan.slots,
                                  .connectionLimit = plan.connectionLimit,
                                  .connectionCost = this->options.connectionCost,
                                  .time = this->options.time,
                                  .recordRequests = this->options.recordRequests };
        UpstreamBehaviour behaviour;
        behaviour.snapshots = { "s" + std::to_string(this->options.serial) };
        model::ServerRecord record{ .name = upstream.name,
                                    .service = plan.name,
                                    .group = GroupName(group),
                                    .address = "",
                                    .region = region,
                                    .zone = region + "a",
                                    .connectionLimit = plan.connectionLimit,
                                    .slots = plan.slots,
                                    .leaving = false };
        this->entries.push_back(
          Entry{ .server = std::make_unique<Upstream>(upstream, behaviour), .record = record });
      }
    }
  }
}

std::error_code
Fleet::Start()
{
  for (Entry& entry : this->entries) {
    if (std::error_code error = entry.server->Start()) {
      return error;
    }
    entry.record.address = std::string(kLoopback) + ":" + std::to_string(entry.server->Port());
  }
  return {};
}

std::vector<Upstream*>
Fleet::Servers()
{
  return this->Matching(".*");
}

std::vector<Upstream*>
Fleet::Matching(const std::string& aPattern)
{
  std::regex pattern(aPattern);
  std::vector<Upstream*> servers;
  for (const Entry& entry : this->entries) {
    if (std::regex_match(entry.record.name, pattern)) {
      servers.push_back(entry.server.get());
    }
  }
  return servers;
}

std::vector<model::ServerRecord>
Fleet::Records(const std::string& aService)
{
  std::vector<model::ServerRecord> records;
  for (const Entry& entry : this->entries) {
    if (entry.record.service == aService) {
      records.push_back(entry.record);
    }
  }
  return records;
}

model::ServiceIndex
Fleet::Index(const std::string& aService, const std::vector<int64_t>& aSerials) const
{
  model::ServiceIndex index{ .service = aService, .snapshots = {} };
  for (const ServicePlan& plan : this->options.services) {
    if (plan.name == aService) {
      for (int64_t serial : aSerials) {
        index.snapshots.push_back(MakeSnapshot(plan, serial));
      }
    }
  }
  return index;
}

UpstreamRecord
Fleet::Total()
{
  UpstreamRecord total;
  for (const Entry& entry : this->entries) {
    Add(total, entry.server->Record());
  }
  return total;
}

UpstreamBehaviour
BehaviourFromJson(const Json::Value& aValue, UpstreamBehaviour aCurrent)
{
  UpstreamBehaviour next = std::move(aCurrent);
  auto flag = [&](const char* aName, bool& aOut) { aOut = aValue.get(aName, aOut).asBool(); };
  auto count = [&](const char* aName, size_t& aOut) {
    aOut = aValue.get(aName, static_cast<Json::UInt64>(aOut)).asUInt64();
  };
  flag("draining", next.draining);
  flag("shedding", next.shedding);
  flag("hides_load", next.hidesLoad);
  flag("hides_draining", next.hidesDraining);
  count("cut_answers", next.cutAnswers);
  count("swap_answers", next.swapAnswers);
  count("partial_answers", next.partialAnswers);
  count("wrong_snapshots", next.wrongSnapshots);
  count("stray_shards", next.strayShards);
  count("reset_after_run", next.resetAfterRun);
  next.slowFactor = aValue.get("slow_factor", next.slowFactor).asDouble();
  next.coldFactor = aValue.get("cold_factor", next.coldFactor).asDouble();
  next.coldFor = std::chrono::milliseconds(
    aValue.get("cold_for_ms", Json::Int64(base::ToMillis(next.coldFor))).asInt64());
  if (aValue["snapshots"].isArray()) {
    next.snapshots.clear();
    for (const Json::Value& entry : aValue["snapshots"]) {
      next.snapshots.push_back(entry.asString());
    }
  }
  return next;
}

FleetControl::FleetControl(Fleet& aFleet, net::Endpoint aListen)
  : fleet(aFleet)
  , server(net::ServerOptions{ .listen = std::move(aListen) })
{
  // {"match": REGEX, "set": {...}} changes the behaviour of the matching servers.
  this->server.Route("POST", "/control/set", [this](const net::Request& aRequest) {
    std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
    if (!body || !(*body)["match"].isString()) {
      return net::Response{ .status = 400, .body = "{}" };
    }
    for (Upstream* upstream : this->fleet.Matching((*body)["match"].asString())) {
      upstream->SetBehaviour(BehaviourFromJson((*body)["set"], upstream->Behaviour()));
    }
    return net::Response{ .status = 200, .body = "{}" };
  });
  // {"match": REGEX, "down_ms": N} crashes the matching servers for N ms; 0 is permanent.
  this->server.Route("POST", "/control/crash", [this](const net::Request& aRequest) {
    std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
    if (!body || !(*body)["match"].isString()) {
      return net::Response{ .status = 400, .body = "{}" };
    }
    auto down = std::chrono::milliseconds((*body).get("down_ms", 0).asInt64());
    for (Upstream* upstream : this->fleet.Matching((*body)["match"].asString())) {
      upstream->Crash(down);
    }
    return net::Response{ .status = 200, .body = "{}" };
  });
  this->server.Route("GET", "/control/record", [this](const net::Request& aRequest) {
    bool ids = aRequest.Parameter("ids") == "1";
    return net::Response{ .status = 200,
                          .body = document::Serialize(ToJson(this->fleet.Total(), ids)) };
  });
}

std::error_code
FleetControl::Start()
{
  return this->server.Start();
}

} // namespace sapphirewind::fakes
