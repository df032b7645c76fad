#include <dispatch/Gather.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace sapphirewind::dispatch {

namespace {

/// The first attempt is overdue after this multiple of its expected latency.
constexpr int kOverdueFactor = 2;
/// Minimum lateness of a first attempt before a hedge: less may be scheduling or network jitter.
constexpr base::Duration kMinHedgeDelay = std::chrono::milliseconds(20);

} // namespace

std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, size_t aCount)
{
  std::vector<std::string_view> records;
  for (std::string_view part : aParts) {
    for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  size_t kept = std::min(aCount, records.size());
  auto middle = records.begin() + static_cast<std::ptrdiff_t>(kept);
  // Comparison of string_view is by unsigned bytes.
  std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (size_t index = 0; index < kept; ++index) {
    merged += records[index];
  }
  return merged;
}

size_t
MinParts(size_t aShards, double aMinCoverage)
{
  // Floating-point error must not round a product such as 0.9 * 10 up to the next integer.
  constexpr double kRoundingTolerance = 1e-9;
  double required = std::ceil(static_cast<double>(aShards) * aMinCoverage - kRoundingTolerance);
  return std::clamp<size_t>(
    static_cast<size_t>(std::max(1.0, required)), 1, std::max<size_t>(1, aShards));
}

GatherStep
NextGatherStep(const GatherState& aState, base::Instant aAnswerBy, base::Instant aNow)
{
  bool enough = aState.parts >= aState.minParts;
  if (aState.parts == aState.shards) {
    return GatherStep::Answer;
  }
  if (enough && (aState.pending == 0 || aNow >= aAnswerBy)) {
    return GatherStep::Answer;
  }
  if (!enough && aState.parts + aState.pending < aState.minParts) {
    return GatherStep::GiveUp;
  }
  return GatherStep::Wait;
}

base::Duration
HedgeDelay(const HedgeTiming& aTiming)
{
  base::Duration overdue =
    std::max(aTiming.expectedFirst * kOverdueFactor, aTiming.expectedFirst + kMinHedgeDelay);
  base::Duration latest = aTiming.untilAnswer - aTiming.expectedSecond * 3 / 2;
  bool canArriveInTime = latest > aTiming.expectedFirst;
  return canArriveInTime ? std::min(overdue, latest) : overdue;
}

} // namespace sapphirewind::dispatch
