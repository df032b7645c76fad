/// @file The cache of the store's answers that a mirror serves to other instances of its region.
///
/// The store charges for each call, and a waiting watch counts as one, so the instances of a large
/// deployment cannot all follow the store. A few instances of each region follow the store;
/// the others follow these mirrors. Answers are relayed byte for byte with the store's revisions,
/// so a follower may change its source at any time. A mirror without a recent answer from the store
/// rejects calls at once.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <deque>
#include <engine/RelayedBody.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirewind::engine {

/// The cached answers about one kind of object. Plain data; the logic is in the functions below.
struct MirrorCache
{
  /// The answer of a watch, valid for a follower at a revision in [from, to).
  struct Changes
  {
    uint64_t from = 0;
    uint64_t to = 0;
    std::shared_ptr<const RelayedBody> body;
  };

  /// Pages of the last complete list, by the name that they continue after.
  std::map<std::string, std::shared_ptr<const RelayedBody>> pages;
  /// Pages of the list that is being read, not yet served.
  std::map<std::string, std::shared_ptr<const RelayedBody>> pendingPages;
  uint64_t listRevision = 0;
  uint64_t revision = 0;
  std::deque<Changes> history;
  /// When the store last answered.
  base::Instant lastAnswerAt{};
  bool hasList = false;
};

/// Limit of the watch answers cached since the last list; beyond it the store is relisted. The
/// limit is in bytes because a configuration may be as large as a megabyte.
constexpr size_t kMaxMirroredBytes = 4 * 1024 * 1024;

void
AddListPage(MirrorCache& aCache,
            const std::string& aAfter,
            std::shared_ptr<const RelayedBody> aBody,
            base::Instant aNow);

/// Serves the pages added since the first one as the complete list, at a revision.
void
CommitList(MirrorCache& aCache, uint64_t aRevision);

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
           uint64_t aTo,
           MirroredUpdate aUpdate,
           std::shared_ptr<const RelayedBody> aBody,
           base::Instant aNow);

/// How a mirror answers a watch.
enum class WatchStatus
{
  Changes, ///< Changes are available.
  Wait,    ///< No newer changes yet.
  Gone     ///< The revision is older than the cache: the follower must relist.
};

struct WatchResponse
{
  WatchStatus status = WatchStatus::Wait;
  std::shared_ptr<const RelayedBody> body;
};

WatchResponse
FindChanges(const MirrorCache& aCache, uint64_t aRevision);

/// Whether the store answered within a time, so that the cache may be served as current.
bool
IsFresh(const MirrorCache& aCache, base::Duration aWithin, base::Instant aNow);

/// Whether the cache exceeds kMaxMirroredBytes, so that the store should be relisted.
bool
IsOverSizeLimit(const MirrorCache& aCache);

} // namespace sapphirewind::engine
