/// @file Claims on idempotency keys, which let a request with side effects run at most once.
///
/// A claim is an entry in a bucket object of the platform's object store. Buckets are changed by
/// conditional writes only. Each operation carries the nonce of its holder, which makes it
/// idempotent: if the response to a write is lost, the nonce in the bucket shows whether the write
/// took effect.
#pragma once

#include <cstdint>
#include <json/value.h>
#include <map>
#include <model/Peer.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::claims {

enum class ClaimState
{
  Held, ///< Only the holder may send the request. It may have sent it already, or have crashed.
  Done  ///< The holder recorded the outcome.
};

/// The entry of one idempotency key.
struct Claim
{
  ClaimState state = ClaimState::Held;
  std::string nonce;
  std::string holder;
  uint64_t bodyHash = 0;
  int64_t atMillis = 0; ///< The wall-clock time of the claim.
  model::Outcome outcome = model::Outcome::Unknown;
  std::string receipt;

  bool operator==(const Claim&) const = default;
};

/// The claims of all keys that hash to one bucket.
struct Bucket
{
  std::map<std::string, Claim> claims;

  bool operator==(const Bucket&) const = default;
};

/// The operations on a bucket.
enum class OperationKind
{
  Acquire, ///< Claim a key.
  Settle,  ///< Record the outcome. Requires the holder's nonce.
  Release  ///< Remove the claim of a request that was never sent. Requires the holder's nonce.
};

struct Operation
{
  OperationKind kind = OperationKind::Acquire;
  std::string key;
  std::string nonce;
  std::string holder;
  uint64_t bodyHash = 0;
  int64_t atMillis = 0;
  model::Outcome outcome = model::Outcome::Unknown;
  std::string receipt;

  bool operator==(const Operation&) const = default;
};

/// The result code of an operation.
enum class Verdict
{
  Granted,        ///< The nonce holds the key: the request may be sent once.
  Replay,         ///< The request ran before; the claim contains its receipt.
  OutcomeUnknown, ///< Another nonce holds the key or did not record a run: must not be sent.
  KeyReused,      ///< The key was used with a different request body.
  Full,           ///< The bucket has reached the maximum number of unexpired claims.
  Recorded,       ///< The outcome was recorded, or the claim was released.
  NotHolder       ///< The nonce does not hold the key; the bucket is unchanged.
};

const char*
ToText(Verdict aVerdict);

struct OperationResult
{
  Verdict verdict = Verdict::OutcomeUnknown;
  std::string receipt;

  bool operator==(const OperationResult&) const = default;
};

/// How long a claim is kept.
constexpr int64_t kRetentionMillis = 24LL * 3600 * 1000;
/// The maximum number of claims per bucket. Keeps the bucket object well below 1 MB.
constexpr size_t kMaxClaimsPerBucket = 3000;
/// The number of buckets over which keys are distributed by hash.
constexpr size_t kBucketCount = 64;

size_t
BucketOf(const std::string& aKey);

std::string
BucketObjectName(size_t aBucket);

/// Applies one operation to a bucket. Idempotent for the same nonce; no other side effects.
OperationResult
Apply(Bucket& aBucket, const Operation& aOperation);

/// Removes claims older than the retention period. Done as part of each write, so that it needs no
/// writes of its own.
void
Prune(Bucket& aBucket, int64_t aNowMillis);

Json::Value
ToJson(const Bucket& aBucket);
std::optional<Bucket>
BucketFromJson(const Json::Value& aValue);
Json::Value
ToJson(const Operation& aOperation);
std::optional<Operation>
OperationFromJson(const Json::Value& aValue);
Json::Value
ToJson(const OperationResult& aResult);
std::optional<OperationResult>
ResultFromJson(const Json::Value& aValue);

} // namespace sapphirewind::claims
