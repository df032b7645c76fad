#include <tier/PeerApi.h>

#include <future>
#include <telemetry/Events.h>
#include <tier/InFlightGuard.h>

namespace sapphirewind::tier {

PeerApi::PeerApi(PeerApiContext aContext)
  : context(aContext)
{
}

void
PeerApi::Register(rpc::Dispatcher& aDispatcher)
{
  using In = const Json::Value&;
  aDispatcher.Register("scatter", [this](In aIn) { return this->Scatter(aIn); });
  aDispatcher.Register("book", [this](In aIn) { return this->Book(aIn); });
  aDispatcher.Register("claim", [this](In aIn) { return this->Claim(aIn); });
  aDispatcher.Register("gossip", [this](In aIn) { return this->Gossip(aIn); });
  aDispatcher.Register("probe", [this](In aIn) { return this->Probe(aIn); });
  aDispatcher.Register("lacking", [this](In aIn) { return this->GroupsWithoutSnapshot(aIn); });
  aDispatcher.Register("survival", [this](In aIn) { return this->WaitForCanary(aIn); });
  aDispatcher.Register("ping", [](In) { return Json::Value(Json::objectValue); });
  aDispatcher.Register("versions", [this](In) { return this->Versions(); });
  aDispatcher.Register("objects", [this](In aIn) { return this->Objects(aIn); });
}

Json::Value
PeerApi::Scatter(const Json::Value& aParameters)
{
  std::optional<model::ScatterRequest> request = model::ScatterRequestFromJson(aParameters);
  if (!request) {
    telemetry::Log(telemetry::Event::PeerMessageRefused, { { "method", "scatter" } });
    throw rpc::CallRefused("malformed, or of another version");
  }
  if (this->context.closed) {
    throw rpc::CallRefused("stopping");
  }
  InFlightGuard guard(this->context.inFlight);
  base::Instant deadline = base::Now() + request->remaining;
  auto promise = std::make_shared<std::promise<model::ScatterResponse>>();
  std::future<model::ScatterResponse> future = promise->get_future();
  this->context.cells.Scatter(*request, deadline, [promise](model::ScatterResponse aAnswer) {
    promise->set_value(std::move(aAnswer));
  });
  return model::ToJson(future.get());
}

Json::Value
PeerApi::Book(const Json::Value& aParameters)
{
  std::optional<model::BookingTask> task = model::BookingTaskFromJson(aParameters);
  if (!task) {
    telemetry::Log(telemetry::Event::PeerMessageRefused, { { "method", "book" } });
    throw rpc::CallRefused("malformed, or of another version");
  }
  if (this->context.closed) {
    throw rpc::CallRefused("stopping");
  }
  InFlightGuard guard(this->context.inFlight);
  auto promise = std::make_shared<std::promise<model::BookingResult>>();
  std::future<model::BookingResult> future = promise->get_future();
  this->context.cells.Book(
    *task, base::Now() + task->remaining, [promise](model::BookingResult aResult) {
      promise->set_value(std::move(aResult));
    });
  return model::ToJson(future.get());
}

Json::Value
PeerApi::Claim(const Json::Value& aParameters)
{
  std::optional<claims::Operation> operation = claims::OperationFromJson(aParameters);
  bool sameVersion =
    aParameters["version"].isInt() && aParameters["version"].asInt() == model::kPeerProtocolVersion;
  if (!operation || !sameVersion || !aParameters["remaining_us"].isInt64()) {
    telemetry::Log(telemetry::Event::PeerMessageRefused, { { "method", "claim" } });
    throw rpc::CallRefused("malformed, or of another version");
  }
  InFlightGuard guard(this->context.inFlight);
  base::Instant deadline = base::Now() + base::Duration(aParameters["remaining_us"].asInt64());
  std::optional<claims::OperationResult> result = this->context.claims.Submit(*operation, deadline);
  if (!result) {
    throw rpc::CallRefused("the store does not answer");
  }
  return claims::ToJson(*result);
}

Json::Value
PeerApi::Gossip(const Json::Value& aParameters)
{
  std::optional<GossipMessage> message = GossipMessageFromJson(aParameters);
  if (!message) {
    telemetry::Log(telemetry::Event::PeerMessageRefused, { { "method", "gossip" } });
    throw rpc::CallRefused("malformed, or of another version");
  }
  return ToJson(this->context.gossip.HandleMessage(*message));
}

Json::Value
PeerApi::Probe(const Json::Value& aParameters)
{
  if (!aParameters["address"].isString()) {
    throw rpc::CallRefused("malformed");
  }
  constexpr base::Duration kIndirectPingTimeout = std::chrono::milliseconds(400);
  base::Result<Json::Value> answer =
    this->context.peers.Call(aParameters["address"].asString(),
                             "ping",
                             Json::Value(Json::objectValue),
                             CallOptions{ .timeout = kIndirectPingTimeout });
  Json::Value value;
  value["answered"] = static_cast<bool>(answer);
  return value;
}

Json::Value
PeerApi::GroupsWithoutSnapshot(const Json::Value& aParameters)
{
  bool wellFormed = aParameters["service"].isString() && aParameters["snapshot"].isString() &&
                    aParameters["groups"].isArray();
  if (!wellFormed) {
    throw rpc::CallRefused("malformed");
  }
  std::vector<std::string> groups;
  for (const Json::Value& group : aParameters["groups"]) {
    groups.push_back(group.isString() ? group.asString() : "");
  }
  std::vector<std::string> missing = this->context.cells.GroupsWithoutSnapshot(
    aParameters["service"].asString(), aParameters["snapshot"].asString(), groups);
  Json::Value value;
  value["groups"] = Json::Value(Json::arrayValue);
  for (const std::string& group : missing) {
    value["groups"].append(group);
  }
  return value;
}

Json::Value
PeerApi::WaitForCanary(const Json::Value& aParameters)
{
  bool wellFormed = aParameters["service"].isString() && aParameters["group"].isString() &&
                    aParameters["request"].isString() && aParameters["remaining_us"].isInt64();
  if (!wellFormed) {
    throw rpc::CallRefused("malformed");
  }
  base::Instant deadline = base::Now() + base::Duration(aParameters["remaining_us"].asInt64());
  Json::Value value;
  value["survived"] = this->context.cells.WaitForCanary(aParameters["service"].asString(),
                                                        aParameters["group"].asString(),
                                                        aParameters["request"].asString(),
                                                        deadline);
  return value;
}

Json::Value
PeerApi::Versions() const
{
  Json::Value value;
  value["versions"] = Json::Value(Json::objectValue);
  for (const platform::ObjectChange& entry : this->context.objects.Versions()) {
    value["versions"][entry.name] = static_cast<Json::UInt64>(entry.version);
  }
  return value;
}

Json::Value
PeerApi::Objects(const Json::Value& aParameters) const
{
  Json::Value value;
  value["objects"] = Json::Value(Json::objectValue);
  if (!aParameters["names"].isArray()) {
    throw rpc::CallRefused("malformed");
  }
  for (const Json::Value& name : aParameters["names"]) {
    std::optional<platform::VersionedValue> object =
      name.isString() ? this->context.objects.Get(name.asString()) : std::nullopt;
    if (object) {
      Json::Value& entry = value["objects"][name.asString()];
      entry["version"] = static_cast<Json::UInt64>(object->version);
      entry["value"] = object->value;
    }
  }
  return value;
}

} // namespace sapphirewind::tier
