#include <claims/Bucket.h>

#include <array>
#include <base/Random.h>
#include <model/FieldReader.h>

namespace sapphirewind::claims {

namespace {

constexpr std::array<Verdict, 7> kVerdicts = { Verdict::Granted,        Verdict::Replay,
                                               Verdict::OutcomeUnknown, Verdict::KeyReused,
                                               Verdict::Full,           Verdict::Recorded,
                                               Verdict::NotHolder };
constexpr const char* kOperationTexts[] = { "take", "settle", "give_up" };

OperationResult
MakeResult(Verdict aVerdict, std::string aReceipt = {})
{
  return OperationResult{ .verdict = aVerdict, .receipt = std::move(aReceipt) };
}

OperationResult
ResultForExistingClaim(const Claim& aClaim, const Operation& aOperation)
{
  if (aClaim.nonce == aOperation.nonce) {
    return MakeResult(Verdict::Granted);
  }
  if (aClaim.bodyHash != aOperation.bodyHash) {
    return MakeResult(Verdict::KeyReused);
  }
  if (aClaim.state == ClaimState::Done && aClaim.outcome == model::Outcome::Ran) {
    return MakeResult(Verdict::Replay, aClaim.receipt);
  }
  return MakeResult(Verdict::OutcomeUnknown);
}

OperationResult
Acquire(Bucket& aBucket, const Operation& aOperation)
{
  auto found = aBucket.claims.find(aOperation.key);
  if (found != aBucket.claims.end()) {
    return ResultForExistingClaim(found->second, aOperation);
  }
  if (aBucket.claims.size() >= kMaxClaimsPerBucket) {
    return MakeResult(Verdict::Full);
  }
  aBucket.claims[aOperation.key] = Claim{ .state = ClaimState::Held,
                                          .nonce = aOperation.nonce,
                                          .holder = aOperation.holder,
                                          .bodyHash = aOperation.bodyHash,
                                          .atMillis = aOperation.atMillis,
                                          .outcome = model::Outcome::Unknown,
                                          .receipt = {} };
  return MakeResult(Verdict::Granted);
}

OperationResult
Settle(Bucket& aBucket, const Operation& aOperation)
{
  auto found = aBucket.claims.find(aOperation.key);
  if (found == aBucket.claims.end() || found->second.nonce != aOperation.nonce) {
    return MakeResult(Verdict::NotHolder);
  }
  found->second.state = ClaimState::Done;
  found->second.outcome = aOperation.outcome;
  found->second.receipt = aOperation.receipt;
  return MakeResult(Verdict::Recorded);
}

OperationResult
Release(Bucket& aBucket, const Operation& aOperation)
{
  auto found = aBucket.claims.find(aOperation.key);
  if (found == aBucket.claims.end()) {
    return MakeResult(Verdict::Recorded);
  }
  bool held = found->second.nonce == aOperation.nonce && found->second.state == ClaimState::Held;
  if (!held) {
    return MakeResult(Verdict::NotHolder);
  }
  aBucket.claims.erase(found);
  return MakeResult(Verdict::Recorded);
}

std::optional<Claim>
ClaimFromJson(const Json::Value& aValue)
{
  model::FieldReader fields(aValue);
  std::optional<model::Outcome> outcome = model::OutcomeFromText(fields.String("outcome"));
  Claim claim{ .state = fields.Boolean("done") ? ClaimState::Done : ClaimState::Held,
               .nonce = fields.String("nonce"),
               .holder = fields.String("holder"),
               .bodyHash = static_cast<uint64_t>(fields.Integer("body")),
               .atMillis = fields.Integer("at"),
               .outcome = outcome.value_or(model::Outcome::Unknown),
               .receipt = fields.String("receipt") };
  return fields.Ok() && outcome ? std::optional(claim) : std::nullopt;
}

} // namespace

const char*
ToText(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Granted:
      return "granted";
    case Verdict::Replay:
      return "replay";
    case Verdict::OutcomeUnknown:
      return "in_doubt";
    case Verdict::KeyReused:
      return "key_reused";
    case Verdict::Full:
      return "full";
    case Verdict::Recorded:
      return "recorded";
    case Verdict::NotHolder:
      return "not_holder";
  }
  return "";
}

size_t
BucketOf(const std::string& aKey)
{
  return base::Hash64(aKey) % kBucketCount;
}

std::string
BucketObjectName(size_t aBucket)
{
  return "claims/" + std::to_string(aBucket);
}

OperationResult
Apply(Bucket& aBucket, const Operation& aOperation)
{
  switch (aOperation.kind) {
    case OperationKind::Acquire:
      return Acquire(aBucket, aOperation);
    case OperationKind::Settle:
      return Settle(aBucket, aOperation);
    case OperationKind::Release:
      return Release(aBucket, aOperation);
  }
  return MakeResult(Verdict::NotHolder);
}

void
Prune(Bucket& aBucket, int64_t aNowMillis)
{
  std::erase_if(aBucket.claims, [&](const auto& aEntry) {
    return aEntry.second.atMillis + kRetentionMillis < aNowMillis;
  });
}

Json::Value
ToJson(const Bucket& aBucket)
{
  Json::Value value(Json::objectValue);
  for (const auto& [key, claim] : aBucket.claims) {
    Json::Value entry;
    entry["done"] = claim.state == ClaimState::Done;
    entry["nonce"] = claim.nonce;
    entry["holder"] = claim.holder;
    entry["body"] = static_cast<Json::Int64>(claim.bodyHash);
    entry["at"] = static_cast<Json::Int64>(claim.atMillis);
    entry["outcome"] = model::ToText(claim.outcome);
    entry["receipt"] = claim.receipt;
    value[key] = std::move(entry);
  }
  return value;
}

std::optional<Bucket>
BucketFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject()) {
    return std::nullopt;
  }
  Bucket bucket;
  for (const std::string& key : aValue.getMemberNames()) {
    std::optional<Claim> claim = ClaimFromJson(aValue[key]);
    if (!claim) {
      return std::nullopt;
    }
    bucket.claims[key] = std::move(*claim);
  }
  return bucket;
}

Json::Value
ToJson(const Operation& aOperation)
{
  Json::Value value;
  value["kind"] = kOperationTexts[static_cast<size_t>(aOperation.kind)];
  value["key"] = aOperation.key;
  value["nonce"] = aOperation.nonce;
  value["holder"] = aOperation.holder;
  value["body"] = static_cast<Json::Int64>(aOperation.bodyHash);
  value["at"] = static_cast<Json::Int64>(aOperation.atMillis);
  value["outcome"] = model::ToText(aOperation.outcome);
  value["receipt"] = aOperation.receipt;
  return value;
}

std::optional<Operation>
OperationFromJson(const Json::Value& aValue)
{
  model::FieldReader fields(aValue);
  std::string kindText = fields.String("kind");
  std::optional<OperationKind> kind;
  for (OperationKind candidate :
       { OperationKind::Acquire, OperationKind::Settle, OperationKind::Release }) {
    if (kindText == kOperationTexts[static_cast<size_t>(candidate)]) {
      kind = candidate;
    }
  }
  std::optional<model::Outcome> outcome = model::OutcomeFromText(fields.String("outcome"));
  Operation operation{ .kind = kind.value_or(OperationKind::Acquire),
                       .key = fields.String("key"),
                       .nonce = fields.String("nonce"),
                       .holder = fields.String("holder"),
                       .bodyHash = static_cast<uint64_t>(fields.Integer("body")),
                       .atMillis = fields.Integer("at"),
                       .outcome = outcome.value_or(model::Outcome::Unknown),
                       .receipt = fields.String("receipt") };
  return fields.Ok() && kind && outcome ? std::optional(operation) : std::nullopt;
}

Json::Value
ToJson(const OperationResult& aResult)
{
  Json::Value value;
  value["verdict"] = ToText(aResult.verdict);
  value["receipt"] = aResult.receipt;
  return value;
}

std::optional<OperationResult>
ResultFromJson(const Json::Value& aValue)
{
  model::FieldReader fields(aValue);
  std::string text = fields.String("verdict");
  std::string receipt = fields.String("receipt");
  for (Verdict verdict : kVerdicts) {
    if (fields.Ok() && text == ToText(verdict)) {
      return OperationResult{ .verdict = verdict, .receipt = receipt };
    }
  }
  return std::nullopt;
}

} // namespace sapphirewind::claims
