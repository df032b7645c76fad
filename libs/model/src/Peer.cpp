#include <model/Peer.h>

#include <model/FieldReader.h>

namespace sapphirewind::model {

namespace {

Json::Value
ToJson(const ClassPolicy& aPolicy)
{
  Json::Value value;
  value["class"] = aPolicy.className;
  value["rank"] = ToText(aPolicy.rank);
  value["floor"] = aPolicy.guaranteedShare;
  return value;
}

ClassPolicy
ClassPolicyFromJson(FieldReader& aParent)
{
  FieldReader fields(aParent.Object("handling"));
  std::optional<Rank> rank = RankFromText(fields.String("rank"));
  ClassPolicy policy{ .className = fields.String("class"),
                      .rank = rank.value_or(Rank::Deferrable),
                      .guaranteedShare = fields.Number("floor") };
  if (!fields.Ok() || !rank) {
    aParent.MarkInvalid();
  }
  return policy;
}

Outcome
ReadOutcome(FieldReader& aFields)
{
  std::optional<Outcome> outcome = OutcomeFromText(aFields.String("outcome"));
  if (!outcome) {
    aFields.MarkInvalid();
  }
  return outcome.value_or(Outcome::Unknown);
}

std::optional<Errc>
ReadError(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue.isMember("error") || !aValue["error"].isString()) {
    return std::nullopt;
  }
  return ErrcFromText(aValue["error"].asString());
}

base::Duration
ReadMicros(FieldReader& aFields, const char* aName)
{
  return base::Duration(aFields.Integer(aName));
}

std::vector<Hit>
ReadHits(FieldReader& aFields)
{
  std::vector<Hit> hits;
  for (const Json::Value& entry : aFields.List("hits")) {
    std::optional<Hit> hit = HitFromJson(entry);
    if (!hit) {
      aFields.MarkInvalid();
      return {};
    }
    hits.push_back(std::move(*hit));
  }
  return hits;
}

Json::Value
ToJson(const GroupResult& aResponse)
{
  Json::Value value;
  value["group"] = aResponse.group;
  value["outcome"] = ToText(aResponse.outcome);
  value["shards"] = StringsToJson(aResponse.shards);
  value["wait_us"] = static_cast<Json::Int64>(aResponse.queueWait.count());
  if (aResponse.error) {
    value["error"] = ToText(*aResponse.error);
  }
  return value;
}

std::optional<GroupResult>
GroupResultFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  GroupResult response{ .group = fields.String("group"),
                        .outcome = ReadOutcome(fields),
                        .shards = fields.Strings("shards"),
                        .error = ReadError(aValue),
                        .queueWait = ReadMicros(fields, "wait_us") };
  return fields.Ok() ? std::optional(response) : std::nullopt;
}

} // namespace

Json::Value
ToJson(const Hit& aHit)
{
  Json::Value value;
  value["id"] = aHit.id;
  value["shard"] = aHit.shard;
  value["score"] = aHit.score;
  value["text"] = aHit.text;
  return value;
}

Json::Value
ToJson(const std::vector<Hit>& aHits)
{
  Json::Value list(Json::arrayValue);
  for (const Hit& hit : aHits) {
    list.append(ToJson(hit));
  }
  return list;
}

std::optional<Hit>
HitFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  Hit hit{ .id = fields.String("id"),
           .shard = fields.String("shard"),
           .score = fields.Number("score"),
           .text = fields.String("text") };
  return fields.Ok() ? std::optional(hit) : std::nullopt;
}

Json::Value
ToJson(const ScatterRequest& aRequest)
{
  Json::Value value;
  value["version"] = kPeerProtocolVersion;
  value["request"] = aRequest.requestId;
  value["service"] = aRequest.service;
  value["snapshot"] = aRequest.snapshot;
  value["query"] = aRequest.query;
  value["top"] = static_cast<Json::UInt64>(aRequest.top);
  value["handling"] = ToJson(aRequest.policy);
  value["remaining_us"] = static_cast<Json::Int64>(aRequest.remaining.count());
  value["canary"] = aRequest.canary;
  value["groups"] = Json::Value(Json::arrayValue);
  for (const GroupTask& task : aRequest.groups) {
    Json::Value entry;
    entry["group"] = task.group;
    entry["shards"] = StringsToJson(task.shards);
    value["groups"].append(std::move(entry));
  }
  return value;
}

std::optional<ScatterRequest>
ScatterRequestFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  ScatterRequest request;
  bool sameVersion = fields.Integer("version") == kPeerProtocolVersion;
  request.requestId = fields.String("request");
  request.service = fields.String("service");
  request.snapshot = fields.String("snapshot");
  request.query = fields.String("query");
  request.top = fields.Size("top");
  request.policy = ClassPolicyFromJson(fields);
  request.remaining = ReadMicros(fields, "remaining_us");
  request.canary = fields.Boolean("canary");
  for (const Json::Value& entry : fields.List("groups")) {
    FieldReader task(entry);
    request.groups.push_back(
      GroupTask{ .group = task.String("group"), .shards = task.Strings("shards") });
    if (!task.Ok()) {
      return std::nullopt;
    }
  }
  return fields.Ok() && sameVersion ? std::optional(request) : std::nullopt;
}

Json::Value
ToJson(const ScatterResponse& aResponse)
{
  Json::Value value;
  value["version"] = kPeerProtocolVersion;
  value["hits"] = ToJson(aResponse.hits);
  value["groups"] = Json::Value(Json::arrayValue);
  for (const GroupResult& group : aResponse.groups) {
    value["groups"].append(ToJson(group));
  }
  return value;
}

std::optional<ScatterResponse>
ScatterResponseFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  ScatterResponse response;
  bool sameVersion = fields.Integer("version") == kPeerProtocolVersion;
  response.hits = ReadHits(fields);
  for (const Json::Value& entry : fields.List("groups")) {
    std::optional<GroupResult> group = GroupResultFromJson(entry);
    if (!group) {
      return std::nullopt;
    }
    response.groups.push_back(std::move(*group));
  }
  return fields.Ok() && sameVersion ? std::optional(response) : std::nullopt;
}

Json::Value
ToJson(const BookingTask& aTask)
{
  Json::Value value;
  value["version"] = kPeerProtocolVersion;
  value["request"] = aTask.requestId;
  value["service"] = aTask.service;
  value["group"] = aTask.group;
  value["key"] = aTask.key;
  value["body"] = aTask.body;
  value["handling"] = ToJson(aTask.policy);
  value["remaining_us"] = static_cast<Json::Int64>(aTask.remaining.count());
  return value;
}

std::optional<BookingTask>
BookingTaskFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  bool sameVersion = fields.Integer("version") == kPeerProtocolVersion;
  BookingTask task{ .requestId = fields.String("request"),
                    .service = fields.String("service"),
                    .group = fields.String("group"),
                    .key = fields.String("key"),
                    .body = fields.String("body"),
                    .policy = ClassPolicyFromJson(fields),
                    .remaining = ReadMicros(fields, "remaining_us") };
  return fields.Ok() && sameVersion ? std::optional(task) : std::nullopt;
}

Json::Value
ToJson(const BookingResult& aResult)
{
  Json::Value value;
  value["version"] = kPeerProtocolVersion;
  value["outcome"] = ToText(aResult.outcome);
  value["receipt"] = aResult.receipt;
  if (aResult.error) {
    value["error"] = ToText(*aResult.error);
  }
  return value;
}

std::optional<BookingResult>
BookingResultFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  bool sameVersion = fields.Integer("version") == kPeerProtocolVersion;
  BookingResult result{ .outcome = ReadOutcome(fields),
                        .receipt = fields.String("receipt"),
                        .error = ReadError(aValue) };
  return fields.Ok() && sameVersion ? std::optional(result) : std::nullopt;
}

} // namespace sapphirewind::model
