/// @file When a query over shards is answered, when a shard is asked a second time, and how parts
/// are merged.
#pragma once

#include <array>
#include <base/Time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::dispatch {

/// A record of a part; the greatest by bytes come first in an answer.
constexpr size_t kRecordBytes = 16;

/// The greatest aCount records of all parts, greatest first. A remainder of a part that is shorter
/// than a record is none.
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, size_t aCount);

/// The least number of parts that makes an answer.
size_t
MinParts(size_t aShards, double aMinCoverage);

/// Where a query stands.
struct GatherState
{
  size_t shards = 0;
  size_t parts = 0;
  /// Shards whose part may still come or be asked for.
  size_t pending = 0;
  size_t minParts = 0;
};

enum class GatherStep
{
  Wait,
  Answer, ///< With the parts that are there.
  GiveUp  ///< Too few parts, and no more can come.
};

/// A whole answer goes at once. A partial one goes when nothing more can come, or when waiting on
/// would miss the objective, from aAnswerBy on: a late whole answer is worth far less to a caller
/// than one that is nearly whole and in time.
GatherStep
NextGatherStep(const GatherState& aState, base::Instant aAnswerBy, base::Instant aNow);

/// How long before the objective a partial answer leaves, for the way to the caller and for the
/// part of its wait that passed before the request was read.
constexpr base::Duration kAnswerMargin = std::chrono::milliseconds(12);

/// What the delay before a second attempt depends on.
struct HedgeTiming
{
  /// The latency that was expected of the first attempt.
  base::Duration expectedFirst{ 0 };
  /// The latency to expect of the second.
  base::Duration expectedSecond{ 0 };
  /// From sending the first attempt to the time by which the answer must leave.
  base::Duration untilAnswer{ 0 };
};

/// When to send a second attempt, counted from the first: once the first is clearly overdue, and
/// early enough for the second to arrive in time if that is possible.
base::Duration
HedgeDelay(const HedgeTiming& aTiming);

} // namespace sapphirewind::dispatch
