#include <directory/MirrorTree.h>

#include <algorithm>
#include <base/Random.h>

namespace sapphirewind::directory {

namespace {

/// How long a mirror is not used after it failed; doubles with each failure in a row.
constexpr base::Duration kUnreachableCooldown = std::chrono::seconds(3);
constexpr base::Duration kMaxUnreachableCooldown = std::chrono::seconds(48);
constexpr base::Duration kNotCurrentCooldown = std::chrono::milliseconds(150);
constexpr base::Duration kMaxNotCurrentCooldown = std::chrono::milliseconds(400);
/// Delay, for each position in the order, before an instance without a usable mirror goes to the
/// store: long enough for the one before it to have read the store.
constexpr base::Duration kStoreDelayPerRank = std::chrono::milliseconds(60);
/// An instance that follows the store turns to mirrors after this many failures in a row, and tries
/// the store again after the time below.
constexpr unsigned kStoreFailureLimit = 2;
constexpr base::Duration kStoreRetryInterval = std::chrono::milliseconds(1000);

std::vector<InstanceEntry>
OrderOf(const InstanceTracker& aTracker, const std::string& aRegion, base::Instant aNow)
{
  std::vector<InstanceEntry> order;
  for (const InstanceEntry& entry : ListLive(aTracker, aNow)) {
    if (entry.region == aRegion && !entry.address.empty()) {
      order.push_back(entry);
    }
  }
  std::sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(base::Hash64(aLeft.name), aLeft.name) <
           std::pair(base::Hash64(aRight.name), aRight.name);
  });
  return order;
}

/// The position that an instance has in the order, or would have if it is not listed yet.
size_t
RankOf(const std::vector<InstanceEntry>& aOrder, const std::string& aInstance)
{
  auto key = std::pair(base::Hash64(aInstance), aInstance);
  auto at = std::find_if(aOrder.begin(), aOrder.end(), [&](const InstanceEntry& aEntry) {
    return std::pair(base::Hash64(aEntry.name), aEntry.name) >= key;
  });
  return static_cast<size_t>(at - aOrder.begin());
}

bool
IsUsable(const SourceState& aState, const InstanceEntry& aMirror, base::Instant aNow)
{
  auto failed = aState.failed.find(aMirror.address);
  return failed == aState.failed.end() || aNow >= failed->second.until;
}

const InstanceEntry*
FirstUsable(const SourceState& aState, base::Instant aNow)
{
  auto usable =
    std::find_if(aState.plan.candidates.begin(),
                 aState.plan.candidates.end(),
                 [&](const InstanceEntry& aMirror) { return IsUsable(aState, aMirror, aNow); });
  return usable == aState.plan.candidates.end() ? nullptr : &*usable;
}

base::Duration
Doubled(base::Duration aFirst, unsigned aInRow, base::Duration aMax)
{
  constexpr unsigned kMaxDoublings = 8;
  return std::min<base::Duration>(aFirst * (1U << std::min(aInRow - 1, kMaxDoublings)), aMax);
}

} // namespace

MirrorPlan
PlanMirrors(const InstanceTracker& aTracker,
            const std::string& aRegion,
            const std::string& aInstance,
            base::Instant aNow)
{
  std::vector<InstanceEntry> order = OrderOf(aTracker, aRegion, aNow);
  MirrorPlan plan;
  plan.rank = RankOf(order, aInstance);
  if (order.size() <= kMaxDirectFollowers) {
    return plan;
  }
  plan.followsStore = plan.rank < kMirrorRoots;
  auto add = [&](size_t aRank) {
    bool isKnown = std::find(plan.candidates.begin(), plan.candidates.end(), order[aRank]) !=
                   plan.candidates.end();
    if (!isKnown && order[aRank].name != aInstance) {
      plan.candidates.push_back(order[aRank]);
    }
  };
  if (!plan.followsStore) {
    add((plan.rank - kMirrorRoots) / kMirrorFanOut);
    for (size_t alternate = 0; alternate < kMirrorAlternates; ++alternate) {
      add(base::Hash64(aInstance + "/" + std::to_string(alternate)) % plan.rank);
    }
  }
  // All candidates come before the instance, so that none follows itself in a circle; only the
  // roots turn to each other.
  if (plan.followsStore) {
    add(1 - plan.rank);
  } else {
    add(base::Hash64(aInstance) % std::min(plan.rank, kMirrorReserves));
  }
  return plan;
}

SourceChoice
ChooseSource(SourceState& aState, base::Duration aMaxDelay, base::Instant aNow)
{
  const InstanceEntry* mirror = FirstUsable(aState, aNow);
  bool storeFailed = aState.storeFailuresInRow >= kStoreFailureLimit &&
                     aNow - aState.storeFailedAt < kStoreRetryInterval;
  if (aState.plan.followsStore) {
    return storeFailed && mirror != nullptr
             ? SourceChoice{ .kind = SourceChoice::Kind::Mirror, .mirror = *mirror }
             : SourceChoice{ .kind = SourceChoice::Kind::Store };
  }
  if (mirror != nullptr) {
    return { .kind = SourceChoice::Kind::Mirror, .mirror = *mirror };
  }
  if (!aState.exhaustedSince) {
    aState.exhaustedSince = aNow;
  }
  base::Duration delay = std::min<base::Duration>(
    kStoreDelayPerRank * static_cast<int64_t>(aState.plan.rank), aMaxDelay);
  bool mayUseStore = aNow - *aState.exhaustedSince >= delay;
  return { .kind = mayUseStore ? SourceChoice::Kind::Store : SourceChoice::Kind::Wait };
}

void
OnMirrorFailed(SourceState& aState,
               const std::string& aAddress,
               MirrorFailure aFailure,
               base::Instant aNow)
{
  SourceState::Failed& failed = aState.failed[aAddress];
  ++failed.inRow;
  failed.until = aNow + (aFailure == MirrorFailure::Unreachable
                           ? Doubled(kUnreachableCooldown, failed.inRow, kMaxUnreachableCooldown)
                           : Doubled(kNotCurrentCooldown, failed.inRow, kMaxNotCurrentCooldown));
}

void
OnMirrorAnswered(SourceState& aState, const std::string& aAddress)
{
  aState.failed.erase(aAddress);
  aState.exhaustedSince.reset();
}

void
OnStoreFailed(SourceState& aState, base::Instant aNow)
{
  ++aState.storeFailuresInRow;
  aState.storeFailedAt = aNow;
  // The delay before the next attempt starts anew, so that an outage is not met by all at once.
  if (aState.exhaustedSince) {
    aState.exhaustedSince = aNow;
  }
}

void
OnStoreAnswered(SourceState& aState)
{
  aState.storeFailuresInRow = 0;
}

} // namespace sapphirewind::directory
