#include <model/Attempt.h>

#include <algorithm>
#include <model/FieldReader.h>
#include <model/Peer.h>
#include <set>

namespace sapphirewind::model {

Json::Value
ToJson(const AttemptRequest& aRequest)
{
  Json::Value value;
  value["attempt"] = aRequest.attemptId;
  value["request"] = aRequest.requestId;
  value["group"] = aRequest.group;
  value["snapshot"] = aRequest.snapshot;
  value["shards"] = StringsToJson(aRequest.shards);
  value["query"] = aRequest.query;
  value["top"] = static_cast<Json::UInt64>(aRequest.top);
  value["remaining_us"] = static_cast<Json::Int64>(aRequest.remaining.count());
  return value;
}

std::optional<AttemptRequest>
AttemptRequestFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  AttemptRequest request{ .attemptId = fields.String("attempt"),
                          .requestId = fields.String("request"),
                          .group = fields.String("group"),
                          .snapshot = fields.String("snapshot"),
                          .shards = fields.Strings("shards"),
                          .query = fields.String("query"),
                          .top = fields.Size("top"),
                          .remaining = base::Duration(fields.Integer("remaining_us")) };
  return fields.Ok() ? std::optional(request) : std::nullopt;
}

Json::Value
ToJson(const AttemptResponse& aResponse)
{
  Json::Value value;
  value["attempt"] = aResponse.attemptId;
  value["request"] = aResponse.requestId;
  value["snapshot"] = aResponse.snapshot;
  value["shards"] = StringsToJson(aResponse.shards);
  value["hits"] = ToJson(aResponse.hits);
  return value;
}

std::optional<AttemptResponse>
AttemptResponseFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  AttemptResponse response{ .attemptId = fields.String("attempt"),
                            .requestId = fields.String("request"),
                            .snapshot = fields.String("snapshot"),
                            .shards = fields.Strings("shards"),
                            .hits = {} };
  for (const Json::Value& entry : fields.List("hits")) {
    std::optional<Hit> hit = HitFromJson(entry);
    if (!hit) {
      return std::nullopt;
    }
    response.hits.push_back(std::move(*hit));
  }
  return fields.Ok() ? std::optional(response) : std::nullopt;
}

std::optional<std::string>
FindMismatch(const AttemptRequest& aRequest, const AttemptResponse& aResponse)
{
  if (aResponse.attemptId != aRequest.attemptId) {
    return "response belongs to attempt " + aResponse.attemptId;
  }
  if (aResponse.requestId != aRequest.requestId) {
    return "response belongs to request " + aResponse.requestId;
  }
  if (aResponse.snapshot != aRequest.snapshot) {
    return "response is for snapshot " + aResponse.snapshot;
  }
  return std::nullopt;
}

AttemptResponse
FilterToRequested(const AttemptRequest& aRequest, AttemptResponse aResponse)
{
  std::set<std::string> requested(aRequest.shards.begin(), aRequest.shards.end());
  auto notRequested = [&](const std::string& aShard) { return !requested.count(aShard); };
  std::erase_if(aResponse.shards, notRequested);
  std::set<std::string> kept(aResponse.shards.begin(), aResponse.shards.end());
  std::erase_if(aResponse.hits, [&](const Hit& aHit) { return !kept.count(aHit.shard); });
  return aResponse;
}

} // namespace sapphirewind::model
