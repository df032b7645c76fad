/// @file The cache of the store's answers that a mirror serves to other instances of its region.
///
/// The store charges for each call, and a waiting watch counts as one, so the instances of a large
/// deployment cannot all follow the store. A few instances of each region follow the store;
/// the others follow these mirrors. Answers are relayed byte for byte with the store's revisions,
/// so a follower may change its source at any time. A mirror without a recent answer from the store
/// rejects calls at once.
///
/// The cache is of one era of the store. When the store has returned from an older copy, the cache
/// is emptied, and the watches that wait go on waiting until the new list is complete; then they
/// are answered with 410, so that the followers list again after their mirror.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <deque>
#include <directory/StoreEra.h>
#include <engine/RelayedBody.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirewind::engine {

/// The cached answers about one kind of object. Plain data; the logic is in the functions below.
struct MirrorCache
{
  /// The answer of a watch, valid for a follower at a position in [from, to).
  struct Changes
  {
    directory::StorePosition from;
    directory::StorePosition to;
    std::shared_ptr<const RelayedBody> body;
  };

  /// Pages of the last complete list, by the name that they continue after.
  std::map<std::string, std::shared_ptr<const RelayedBody>> pages;
  /// Pages of the list that is being read, not yet served.
  std::map<std::string, std::shared_ptr<const RelayedBody>> pendingPages;
  directory::StorePosition listPosition;
  directory::StorePosition position;
  std::deque<Changes> history;
  /// When the store last answered.
  base::Instant lastAnswerAt{};
  bool hasList = false;
  /// The list of a new era is being read.
  bool renewing = false;
};

/// Limit of the watch answers cached since the last list; beyond it the store is relisted. The
/// limit is in bytes because a configuration may be as large as a megabyte.
constexpr size_t kMaxMirroredBytes = 4 * 1024 * 1024;

void
AddListPage(MirrorCache& aCache,
            const std::string& aAfter,
            std::shared_ptr<const RelayedBody> aBody,
            base::Instant aNow);

/// Serves the pages added since the first one as the complete list, at a position.
void
CommitList(MirrorCache& aCache, const directory::StorePosition& aPosition);

/// Empties the cache, as the store has returned from an older copy.
void
BeginEra(MirrorCache& aCache);

/// The contents of a watch's answer.
enum class MirroredUpdate
{
  None,     ///< No changes; only shows that the store answers.
  Changes,  ///< Changes since the watch's revision.
  FullState ///< The complete state: followers may skip earlier changes.
};

/// Adds the answer of a watch.
void
AddChanges(MirrorCache& aCache,
           const directory::StorePosition& aTo,
           MirroredUpdate aUpdate,
           std::shared_ptr<const RelayedBody> aBody,
           base::Instant aNow);

/// How a mirror answers a watch.
enum class WatchStatus
{
  Changes, ///< Changes are available.
  Wait,    ///< No newer changes yet, or the list of a new era is being read.
  Gone,    ///< The position is older than the cache: the follower must relist.
  Behind   ///< The follower has seen a newer era than this cache.
};

struct WatchResponse
{
  WatchStatus status = WatchStatus::Wait;
  std::shared_ptr<const RelayedBody> body;
};

WatchResponse
FindChanges(const MirrorCache& aCache, const directory::StorePosition& aPosition);

/// Whether the store answered within a time, so that the cache may be served as current.
bool
IsFresh(const MirrorCache& aCache, base::Duration aWithin, base::Instant aNow);

/// Whether the cache exceeds kMaxMirroredBytes, so that the store should be relisted.
bool
IsOverSizeLimit(const MirrorCache& aCache);

} // namespace sapphirewind::engine
