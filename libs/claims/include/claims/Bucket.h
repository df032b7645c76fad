/// @file Claims: the record that lets a request with side effects run at most once.
///
/// A claim is an entry in a bucket object of the platform's store. All changes to a bucket are
/// conditional writes, and each operation carries its holder's nonce, so that applying one twice is
/// the same as applying it once. An answer lost after the write took effect is settled by reading
/// the nonce.
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
  Held, ///< Claimed; its holder may send it, has sent it, or stopped. Nobody else may.
  Done  ///< Its holder recorded how it ended.
};

/// One idempotency key's entry.
struct Claim
{
  ClaimState state = ClaimState::Held;
  std::string nonce;
  std::string holder;
  uint64_t bodyHash = 0;
  int64_t atMillis = 0; ///< Wall clock of the claim.
  model::Outcome outcome = model::Outcome::Unknown;
  std::string receipt;

  bool operator==(const Claim&) const = default;
};

struct Bucket
{
  std::map<std::string, Claim> claims;

  bool operator==(const Bucket&) const = default;
};

/// What is asked of a bucket.
enum class OperationKind
{
  Acquire, ///< Claim a key.
  Settle,  ///< Record the outcome. Only the holder's nonce can.
  Release  ///< Remove a claim that was never sent. Only the holder's nonce can.
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

/// What an operation came to.
enum class Verdict
{
  Granted,        ///< The key is this nonce's: it may be sent, once.
  Replay,         ///< It ran before; the receipt is in the claim.
  OutcomeUnknown, ///< Another holds it, or it ended unknown: it must not be run.
  KeyReused,      ///< The key was used with another body.
  Full,           ///< The bucket holds too many claims that are not old enough to drop.
  Recorded,       ///< Settled or given up.
  NotHolder       ///< The nonce does not hold the key; nothing changed.
};

const char*
ToText(Verdict aVerdict);

struct OperationResult
{
  Verdict verdict = Verdict::OutcomeUnknown;
  std::string receipt;

  bool operator==(const OperationResult&) const = default;
};

/// How long a key is remembered after its claim.
constexpr int64_t kRetentionMillis = 24LL * 3600 * 1000;
/// Claims that a bucket may hold, so that its object stays well under a megabyte.
constexpr size_t kMaxClaimsPerBucket = 3000;
/// Buckets that all keys are spread over.
constexpr size_t kBucketCount = 64;

size_t
BucketOf(const std::string& aKey);

std::string
BucketObjectName(size_t aBucket);

/// Applies one operation. Pure; idempotent for the same nonce.
OperationResult
Apply(Bucket& aBucket, const Operation& aOperation);

/// Drops claims older than the retention; part of each write, so that it costs none of its own.
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
