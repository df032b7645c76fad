#include <fakes/PlatformServer.h>

#include <algorithm>
#include <cstdlib>
#include <document/Document.h>

namespace sapphirewind::fakes {

namespace {

constexpr size_t kPlatformConnections = 4096;
constexpr size_t kLargestObject = 1 << 20;
constexpr const char* kObjectsPath = "/v1/objects/";

net::Response
Answer(int aStatus, const Json::Value& aBody)
{
  return net::Response{ .status = aStatus, .body = document::Write(aBody) };
}

net::Response
FromFailure(const base::Failure& aFailure)
{
  if (aFailure.code == platform::Errc::Conflict) {
    return Answer(412, Json::Value(Json::objectValue));
  }
  if (aFailure.code == platform::Errc::NotFound) {
    return Answer(404, Json::Value(Json::objectValue));
  }
  // Down, or an answer lost: the connection breaks, as it would.
  net::Response response{ .status = 503, .body = "{}" };
  response.cutConnection = true;
  return response;
}

std::string
NameOf(const net::Request& aRequest)
{
  return aRequest.path.substr(std::string(kObjectsPath).size());
}

net::Response
HandleRead(InMemoryStore& aCore, const net::Request& aRequest)
{
  base::Result<platform::Versioned> object = aCore.Read(NameOf(aRequest));
  if (!object) {
    return FromFailure(object.Error());
  }
  Json::Value body;
  body["version"] = static_cast<Json::UInt64>(object->version);
  body["value"] = object->value;
  return Answer(200, body);
}

net::Response
HandleWrite(InMemoryStore& aCore, const net::Request& aRequest)
{
  std::optional<Json::Value> value = document::ParseMessage(aRequest.body);
  if (!value || aRequest.body.size() > kLargestObject) {
    return Answer(400, Json::Value(Json::objectValue));
  }
  std::string expected = aRequest.HeaderValue("If-Match");
  uint64_t version =
    expected.empty() ? platform::kAbsent : std::strtoull(expected.c_str(), nullptr, 10);
  base::Result<uint64_t> written = aCore.Write(NameOf(aRequest), *value, version);
  if (!written) {
    return FromFailure(written.Error());
  }
  Json::Value body;
  body["version"] = static_cast<Json::UInt64>(*written);
  return Answer(200, body);
}

net::Response
HandleWatch(InMemoryStore& aCore, const net::Request& aRequest)
{
  uint64_t after = std::strtoull(aRequest.Parameter("after").c_str(), nullptr, 10);
  auto wait =
    std::chrono::milliseconds(std::strtol(aRequest.Parameter("wait_ms").c_str(), nullptr, 10));
  base::Result<platform::WatchAnswer> answer = aCore.Watch(
    aRequest.Parameter("prefix"), after, std::min<base::Duration>(wait, std::chrono::seconds(30)));
  if (!answer) {
    return FromFailure(answer.Error());
  }
  Json::Value body;
  body["revision"] = static_cast<Json::UInt64>(answer->revision);
  body["changes"] = Json::Value(Json::objectValue);
  for (const platform::Change& change : answer->changes) {
    body["changes"][change.name] = static_cast<Json::UInt64>(change.version);
  }
  return Answer(200, body);
}

net::Response
HandleFaults(InMemoryStore& aCore, const net::Request& aRequest)
{
  std::optional<Json::Value> wanted = document::ParseMessage(aRequest.body);
  if (!wanted || !wanted->isObject()) {
    return Answer(400, Json::Value(Json::objectValue));
  }
  const Json::Value& value = *wanted;
  PlatformFaults faults = aCore.Faults();
  faults.down = value.get("down", faults.down).asBool();
  faults.loseAnswers = value.get("lose_answers", Json::UInt64(faults.loseAnswers)).asUInt64();
  auto millis = [&](const char* aName, base::Duration aBefore) {
    return base::Duration(
      std::chrono::milliseconds(value.get(aName, Json::Int64(base::ToMillis(aBefore))).asInt64()));
  };
  faults.delay = millis("delay_ms", faults.delay);
  faults.staleBy = millis("stale_ms", faults.staleBy);
  faults.listLag = millis("list_lag_ms", faults.listLag);
  aCore.SetFaults(faults);
  return Answer(200, Json::Value(Json::objectValue));
}

net::Response
HandleForce(InMemoryStore& aCore, const net::Request& aRequest)
{
  std::optional<Json::Value> wanted = document::ParseMessage(aRequest.body);
  if (!wanted || !wanted->isObject() || !(*wanted)["name"].isString()) {
    return Answer(400, Json::Value(Json::objectValue));
  }
  aCore.ForceWrite((*wanted)["name"].asString(), (*wanted)["value"]);
  return Answer(200, Json::Value(Json::objectValue));
}

net::Response
HandleCalls(InMemoryStore& aCore)
{
  PlatformCalls calls = aCore.Calls();
  Json::Value body;
  body["reads"] = static_cast<Json::UInt64>(calls.reads);
  body["writes"] = static_cast<Json::UInt64>(calls.writes);
  body["watches"] = static_cast<Json::UInt64>(calls.watches);
  body["peak_per_second"] = static_cast<Json::UInt64>(calls.peakPerSecond);
  return Answer(200, body);
}

} // namespace

PlatformServer::PlatformServer(net::Endpoint aListen)
  : server(net::ServerOptions{ .listen = std::move(aListen),
                               .maxBodyBytes = 2 * kLargestObject,
                               .maxConnections = kPlatformConnections })
{
  using In = const net::Request&;
  this->server.Route(
    "GET", "/v1/objects/.+", [this](In aIn) { return HandleRead(this->core, aIn); });
  this->server.Route(
    "PUT", "/v1/objects/.+", [this](In aIn) { return HandleWrite(this->core, aIn); });
  this->server.Route("GET", "/v1/watch", [this](In aIn) { return HandleWatch(this->core, aIn); });
  this->server.Route(
    "POST", "/control/faults", [this](In aIn) { return HandleFaults(this->core, aIn); });
  this->server.Route(
    "POST", "/control/force", [this](In aIn) { return HandleForce(this->core, aIn); });
  this->server.Route("GET", "/control/calls", [this](In) { return HandleCalls(this->core); });
}

std::error_code
PlatformServer::Start()
{
  return this->server.Start();
}

} // namespace sapphirewind::fakes
