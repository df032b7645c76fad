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
ToJson(const AttemptResponse& aAnswer)
{
  Json::Value value;
  value["attempt"] = aAnswer.attemptId;
  value["request"] = aAnswer.requestId;
  value["snapshot"] = aAnswer.snapshot;
  value["shards"] = StringsToJson(aAnswer.shards);
  value["hits"] = ToJson(aAnswer.hits);
  return value;
}

std::optional<AttemptResponse>
AttemptResponseFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  AttemptResponse answer{ .attemptId = fields.String("attempt"),
                          .requestId = fields.String("request"),
                          .snapshot = fields.String("snapshot"),
                          .shards = fields.Strings("shards"),
                          .hits = {} };
  for (const Json::Value& entry : fields.List("hits")) {
    std::optional<Hit> hit = HitFromJson(entry);
    if (!hit) {
      return std::nullopt;
    }
    answer.hits.push_back(std::move(*hit));
  }
  return fields.Ok() ? std::optional(answer) : std::nullopt;
}

std::optional<std::string>
FindMismatch(const AttemptRequest& aRequest, const AttemptResponse& aAnswer)
{
  if (aAnswer.attemptId != aRequest.attemptId) {
    return "answer to attempt " + aAnswer.attemptId;
  }
  if (aAnswer.requestId != aRequest.requestId) {
    return "answer to request " + aAnswer.requestId;
  }
  if (aAnswer.snapshot != aRequest.snapshot) {
    return "answer from snapshot " + aAnswer.snapshot;
  }
  return std::nullopt;
}

AttemptResponse
FilterToRequested(const AttemptRequest& aRequest, AttemptResponse aAnswer)
{
  std::set<std::string> asked(aRequest.shards.begin(), aRequest.shards.end());
  auto notAsked = [&](const std::string& aShard) { return !asked.count(aShard); };
  std::erase_if(aAnswer.shards, notAsked);
  std::set<std::string> kept(aAnswer.shards.begin(), aAnswer.shards.end());
  std::erase_if(aAnswer.hits, [&](const Hit& aHit) { return !kept.count(aHit.shard); });
  return aAnswer;
}

} // namespace sapphirewind::model
