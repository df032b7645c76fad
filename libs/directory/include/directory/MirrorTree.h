/// @file Which instances of a region read the platform's store on behalf of which others, and where
/// an instance turns when its source fails.
///
/// The load that this answers: hundreds of instances with small links and processors follow a store
/// that charges each call. The instances of a region form a tree in the order of a hash of their
/// names. The first few follow the store; every other one follows an instance before it, and serves
/// at most kMirrorFanOut others itself, so that the work of one instance does not grow with the
/// region. An instance that finds none of its mirrors usable goes to the store after a delay that
/// grows with its position: when mirrors fail, the first of their followers goes, and the rest
/// follow that one.
#pragma once

#include <directory/InstanceTracker.h>
#include <map>
#include <optional>

namespace sapphirewind::directory {

/// Number of instances in a region up to which each follows the store itself.
constexpr size_t kMaxDirectFollowers = 4;
/// Instances of a region that follow the store for the others: two, so that one may fail.
constexpr size_t kMirrorRoots = 2;
/// Number of instances that follow one mirror: each relays a configuration of 256 KB in 0.4 s on a
/// link of 20 Mbit/s. With three or four, the time to reach all is shortest.
constexpr size_t kMirrorFanOut = 4;
/// Watches of a kind that a mirror lets wait; it refuses further ones, so that failures elsewhere
/// do not overload a small machine.
constexpr size_t kMaxMirrorFollowers = 3 * kMirrorFanOut;
/// Instances at the start of the order, of which every later one may turn to one when its mirror
/// fails.
constexpr size_t kMirrorReserves = 4;
/// Further instances that one may turn to, different ones for each, so that many can turn away from
/// a failed part of the tree at once.
constexpr size_t kMirrorAlternates = 3;

/// The place of one instance in the tree.
struct MirrorPlan
{
  /// Position in the region's order.
  size_t rank = 0;
  /// Whether the instance follows the store unless the store fails it.
  bool followsStore = true;
  /// Other instances that it may follow, in order of preference.
  std::vector<InstanceEntry> candidates;

  bool operator==(const MirrorPlan&) const = default;
};

/// Places an instance among the live ones of its region. Instances that see the same entries agree
/// on the order.
MirrorPlan
PlanMirrors(const InstanceTracker& aTracker,
            const std::string& aRegion,
            const std::string& aInstance,
            base::Instant aNow);

/// Why a mirror is not used for a while.
enum class MirrorFailure
{
  Unreachable, ///< It did not answer.
  NotCurrent   ///< It answered that it has no current data itself, or too many followers.
};

/// What an instance knows of its sources for one kind of object. Plain data; the functions below
/// implement the policy.
struct SourceState
{
  struct Failed
  {
    base::Instant until{};
    unsigned inRow = 0;
  };

  MirrorPlan plan;
  /// Mirrors that failed, by address.
  std::map<std::string, Failed> failed;
  /// Since when no mirror has been usable.
  std::optional<base::Instant> exhaustedSince;
  unsigned storeFailuresInRow = 0;
  base::Instant storeFailedAt{};
};

/// The source of the next call.
struct SourceChoice
{
  enum class Kind
  {
    Store,
    Mirror,
    Wait ///< None now; ask again shortly.
  };

  Kind kind = Kind::Store;
  /// The mirror, for Kind::Mirror.
  InstanceEntry mirror;
};

/// Chooses the source of the next call. An instance that does not follow the store goes there at
/// most aMaxDelay after it has run out of mirrors.
SourceChoice
ChooseSource(SourceState& aState, base::Duration aMaxDelay, base::Instant aNow);

void
OnMirrorFailed(SourceState& aState,
               const std::string& aAddress,
               MirrorFailure aFailure,
               base::Instant aNow);

void
OnMirrorAnswered(SourceState& aState, const std::string& aAddress);

void
OnStoreFailed(SourceState& aState, base::Instant aNow);

void
OnStoreAnswered(SourceState& aState);

} // namespace sapphirewind::directory
