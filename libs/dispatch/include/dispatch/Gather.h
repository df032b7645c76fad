/// @file Scatter-gather queries over shards: when to answer, when to send a hedged request, and how
/// to merge the partial results.
#pragma once

#include <array>
#include <base/Time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::dispatch {

/// Size of one record of a part. Answers list records in descending byte order.
constexpr size_t kRecordBytes = 16;

/// The greatest aCount records of all parts in descending order. Trailing bytes of a part that are
/// shorter than a record are ignored.
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, size_t aCount);

/// Minimum number of parts in an answer.
size_t
MinParts(size_t aShards, double aMinCoverage);

/// Progress of a query.
struct GatherState
{
  size_t shards = 0;
  size_t parts = 0;
  /// Shards whose part may still arrive or be requested.
  size_t pending = 0;
  size_t minParts = 0;
};

enum class GatherStep
{
  Wait,
  Answer, ///< Answer with the parts received so far.
  GiveUp  ///< The minimum number of parts can no longer be reached.
};

/// A complete answer is sent at once. A partial one is sent when no further part can arrive, or
/// from aAnswerBy on, when waiting longer would miss the latency objective: a nearly complete
/// answer in time is worth far more to a caller than a complete one that is late.
GatherStep
NextGatherStep(const GatherState& aState, base::Instant aAnswerBy, base::Instant aNow);

/// A partial answer is sent this long before the objective. The margin covers the transfer to the
/// caller and the part of the caller's wait that passed before the request was read.
constexpr base::Duration kAnswerMargin = std::chrono::milliseconds(12);

/// Inputs of the hedging delay.
struct HedgeTiming
{
  /// Expected latency of the first attempt when it was sent.
  base::Duration expectedFirst{ 0 };
  /// Expected latency of the hedged request.
  base::Duration expectedSecond{ 0 };
  /// Time from sending the first attempt to the deadline for sending the answer.
  base::Duration untilAnswer{ 0 };
};

/// Delay between the first attempt and a hedged request: once the first attempt is overdue, or
/// earlier if the hedged request would otherwise miss the deadline and can still meet it.
base::Duration
HedgeDelay(const HedgeTiming& aTiming);

} // namespace sapphirewind::dispatch
