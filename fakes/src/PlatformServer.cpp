#include <fakes/PlatformServer.h>

#include <algorithm>
#include <cstdlib>
#include <document/Document.h>

namespace sapphirewind::fakes {

namespace {

constexpr size_t kMaxConnections = 4096;
constexpr size_t kMaxObjectBytes = 1 << 20;
constexpr const char* kObjectsPath = "/v1/objects/";

net::Response
JsonResponse(int aStatus, const Json::Value& aBody)
{
  return net::Response{ .status = aStatus, .body = document::Serialize(aBody) };
}

net::Response
FromFailure(const base::Failure& aFailure)
{
  if (aFailure.code == platform::Errc::Conflict) {
    return JsonResponse(412, Json::Value(Json::objectValue));
  }
  if (aFailure.code == platform::Errc::NotFound) {
    return JsonResponse(404, Json::Value(Json::objectValue));
  }
  // An outage or a lost response: the connection is cut, as on a real failure.
  net::Response response{ .status = 503, .body = "{}" };
  response.dropConnection = true;
  return response;
}

std::string
ObjectName(const net::Request& aRequest)
{
  return aRequest.path.substr(std::string(kObjectsPath).size());
}

net::Response
HandleRead(InMemoryStore& aStore, const net::Request& aRequest)
{
  base::Result<platform::VersionedValue> object = aStore.Read(ObjectName(aRequest));
  if (!object) {
    return FromFailure(object.Error());
  }
  Json::Value body;
  body["version"] = static_cast<Json::UInt64>(object->version);
  body["value"] = object->value;
  return JsonResponse(200, body);
}

net::Response
HandleWrite(InMemoryStore& aStore, const net::Request& aRequest)
{
  std::optional<Json::Value> value = document::ParseMessage(aRequest.body);
  if (!value || aRequest.body.size() > kMaxObjectBytes) {
    return JsonResponse(400, Json::Value(Json::objectValue));
  }
  std::string expected = aRequest.HeaderValue("If-Match");
  uint64_t version =
    expected.empty() ? platform::kAbsent : std::strtoull(expected.c_str(), nullptr, 10);
  base::Result<uint64_t> written = aStore.Write(ObjectName(aRequest), *value, version);
  if (!written) {
    return FromFailure(written.Error());
  }
  Json::Value body;
  body["version"] = static_cast<Json::UInt64>(*written);
  return JsonResponse(200, body);
}

net::Response
HandleWatch(InMemoryStore& aStore, const net::Request& aRequest)
{
  uint64_t after = std::strtoull(aRequest.Parameter("after").c_str(), nullptr, 10);
  auto wait =
    std::chrono::milliseconds(std::strtol(aRequest.Parameter("wait_ms").c_str(), nullptr, 10));
  base::Result<platform::WatchResponse> answer = aStore.Watch(
    aRequest.Parameter("prefix"), after, std::min<base::Duration>(wait, std::chrono::seconds(30)));
  if (!answer) {
    return FromFailure(answer.Error());
  }
  Json::Value body;
  body["revision"] = static_cast<Json::UInt64>(answer->revision);
  body["changes"] = Json::Value(Json::objectValue);
  for (const platform::ObjectChange& change : answer->changes) {
    body["changes"][change.name] = static_cast<Json::UInt64>(change.version);
  }
  return JsonResponse(200, body);
}

net::Response
HandleFaults(InMemoryStore& aStore, const net::Request& aRequest)
{
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  if (!body || !body->isObject()) {
    return JsonResponse(400, Json::Value(Json::objectValue));
  }
  const Json::Value& value = *body;
  PlatformFaults faults = aStore.Faults();
  faults.down = value.get("down", faults.down).asBool();
  faults.loseAnswers = value.get("lose_answers", Json::UInt64(faults.loseAnswers)).asUInt64();
  auto millis = [&](const char* aName, base::Duration aCurrent) {
    return base::Duration(
      std::chrono::milliseconds(value.get(aName, Json::Int64(base::ToMillis(aCurrent))).asInt64()));
  };
  faults.delay = millis("delay_ms", faults.delay);
  faults.staleBy = millis("stale_ms", faults.staleBy);
  faults.listLag = millis("list_lag_ms", faults.listLag);
  aStore.SetFaults(faults);
  return JsonResponse(200, Json::Value(Json::objectValue));
}

net::Response
HandleForce(InMemoryStore& aStore, const net::Request& aRequest)
{
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  if (!body || !body->isObject() || !(*body)["name"].isString()) {
    return JsonResponse(400, Json::Value(Json::objectValue));
  }
  aStore.ForceWrite((*body)["name"].asString(), (*body)["value"]);
  return JsonResponse(200, Json::Value(Json::objectValue));
}

net::Response
HandleCalls(InMemoryStore& aStore)
{
  PlatformCalls calls = aStore.Calls();
  Json::Value body;
  body["reads"] = static_cast<Json::UInt64>(calls.reads);
  body["writes"] = static_cast<Json::UInt64>(calls.writes);
  body["watches"] = static_cast<Json::UInt64>(calls.watches);
  body["peak_per_second"] = static_cast<Json::UInt64>(calls.peakPerSecond);
  return JsonResponse(200, body);
}

} // namespace

PlatformServer::PlatformServer(net::Endpoint aListen)
  : server(net::ServerOptions{ .listen = std::move(aListen),
                               .maxBodyBytes = 2 * kMaxObjectBytes,
                               .maxConnections = kMaxConnections })
{
  using RequestRef = const net::Request&;
  this->server.Route("GET", "/v1/objects/.+", [this](RequestRef aRequest) {
    return HandleRead(this->store, aRequest);
  });
  this->server.Route("PUT", "/v1/objects/.+", [this](RequestRef aRequest) {
    return HandleWrite(this->store, aRequest);
  });
  this->server.Route(
    "GET", "/v1/watch", [this](RequestRef aRequest) { return HandleWatch(this->store, aRequest); });
  this->server.Route("POST", "/control/faults", [this](RequestRef aRequest) {
    return HandleFaults(this->store, aRequest);
  });
  this->server.Route("POST", "/control/force", [this](RequestRef aRequest) {
    return HandleForce(this->store, aRequest);
  });
  this->server.Route(
    "GET", "/control/calls", [this](RequestRef) { return HandleCalls(this->store); });
}

std::error_code
PlatformServer::Start()
{
  return this->server.Start();
}

} // namespace sapphirewind::fakes
