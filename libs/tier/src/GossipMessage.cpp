#include <tier/Gossip.h>

#include <cmath>
#include <model/FieldReader.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kMinInterval = std::chrono::milliseconds(200);
constexpr base::Duration kMaxInterval = std::chrono::milliseconds(750);
/// The number of instances up to which the minimum interval applies.
constexpr double kMinIntervalInstances = 16.0;

} // namespace

base::Duration
ProbeInterval(size_t aInstanceCount)
{
  double growth =
    std::sqrt(std::max(1.0, static_cast<double>(aInstanceCount) / kMinIntervalInstances));
  auto interval =
    base::Duration(static_cast<int64_t>(static_cast<double>(kMinInterval.count()) * growth));
  return std::min(interval, kMaxInterval);
}

Json::Value
ToJson(const GossipMessage& aMessage)
{
  Json::Value value;
  value["version"] = model::kPeerProtocolVersion;
  value["sender"] = membership::ToJson(aMessage.sender);
  value["digest"] = static_cast<Json::UInt64>(aMessage.digest);
  value["rumours"] = Json::Value(Json::arrayValue);
  for (const membership::Member& update : aMessage.updates) {
    value["rumours"].append(membership::ToJson(update));
  }
  value["leaving"] = Json::Value(Json::arrayValue);
  for (const LeavingServer& server : aMessage.leaving) {
    Json::Value entry;
    entry["server"] = server.server;
    entry["us"] = static_cast<Json::Int64>(server.remaining.count());
    value["leaving"].append(std::move(entry));
  }
  value["condemned"] = Json::Value(Json::arrayValue);
  for (const quarantine::QuarantinedRequest& quarantined : aMessage.quarantined) {
    Json::Value entry;
    entry["fingerprint"] = static_cast<Json::UInt64>(quarantined.fingerprint);
    entry["us"] = static_cast<Json::Int64>(quarantined.remaining.count());
    value["condemned"].append(std::move(entry));
  }
  return value;
}

std::optional<GossipMessage>
GossipMessageFromJson(const Json::Value& aValue)
{
  model::FieldReader fields(aValue);
  if (fields.Integer("version") != model::kPeerProtocolVersion) {
    return std::nullopt;
  }
  GossipMessage message;
  std::optional<membership::Member> sender = membership::MemberFromJson(fields.Object("sender"));
  if (!sender || !aValue["digest"].isUInt64()) {
    return std::nullopt;
  }
  message.sender = *sender;
  message.digest = aValue["digest"].asUInt64();
  for (const Json::Value& entry : fields.List("rumours")) {
    std::optional<membership::Member> update = membership::MemberFromJson(entry);
    if (!update) {
      return std::nullopt;
    }
    message.updates.push_back(*update);
  }
  for (const Json::Value& entry : fields.List("leaving")) {
    model::FieldReader server(entry);
    message.leaving.push_back(LeavingServer{ .server = server.String("server"),
                                             .remaining = base::Duration(server.Integer("us")) });
    if (!server.Ok()) {
      return std::nullopt;
    }
  }
  for (const Json::Value& entry : fields.List("condemned")) {
    model::FieldReader quarantined(entry);
    if (!entry.isObject() || !entry["fingerprint"].isUInt64()) {
      return std::nullopt;
    }
    message.quarantined.push_back(
      quarantine::QuarantinedRequest{ .fingerprint = entry["fingerprint"].asUInt64(),
                                      .remaining = base::Duration(quarantined.Integer("us")) });
    if (!quarantined.Ok()) {
      return std::nullopt;
    }
  }
  return fields.Ok() ? std::optional(message) : std::nullopt;
}

} // namespace sapphirewind::tier
