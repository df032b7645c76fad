/// @file What one instance keeps of the store's answers and passes on to instances nearby.
///
/// The store prices each call, a waiting watch as one, so a large fleet cannot follow it instance
/// by instance. A few instances of each region follow the store; the others follow these. Answers
/// are passed on byte for byte, with the store's own revisions, so that a follower may change its
/// source at any time. A mirror that has not heard from the store lately says so at once.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirewind::engine {

/// The kept answers about one kind of object. Plain state; the functions below decide.
struct MirrorCache
{
  /// A watch's answer, good for whoever is at a revision from `from` on and before `to`.
  struct Changes
  {
    uint64_t from = 0;
    uint64_t to = 0;
    std::shared_ptr<const std::string> body;
  };

  /// Pages of the last whole list by the name that they continue after.
  std::map<std::string, std::shared_ptr<const std::string>> pages;
  /// Pages of the list that is being read.
  std::map<std::string, std::shared_ptr<const std::string>> pendingPages;
  uint64_t listRevision = 0;
  uint64_t revision = 0;
  std::deque<Changes> history;
  /// When the store last answered.
  base::Instant lastAnswerAt{};
  bool hasList = false;
};

/// Answers kept since the last list; with more, the list is read anew. Configurations may hold a
/// megabyte, so it is bytes that bound the memory.
constexpr size_t kMaxMirroredBytes = 4 * 1024 * 1024;

void
AddListPage(MirrorCache& aCache,
            const std::string& aAfter,
            std::shared_ptr<const std::string> aBody,
            base::Instant aNow);

/// The list whose pages came before is whole.
void
CommitList(MirrorCache& aCache, uint64_t aRevision);

/// What a watch's answer brings.
enum class MirroredUpdate
{
  None,     ///< It only proves that the store is there.
  Changes,  ///< Changes since the watch's revision.
  FullState ///< All of the state that followers use: earlier changes need not be passed on.
};

/// A watch was answered.
void
AddChanges(MirrorCache& aCache,
           uint64_t aTo,
           MirroredUpdate aUpdate,
           std::shared_ptr<const std::string> aBody,
           base::Instant aNow);

/// What a mirror says to a watch.
enum class WatchStatus
{
  Changes, ///< There is an answer.
  Wait,    ///< Nothing newer yet.
  Gone     ///< Too old: list anew.
};

struct WatchAnswer
{
  WatchStatus status = WatchStatus::Wait;
  std::shared_ptr<const std::string> body;
};

WatchAnswer
FindChanges(const MirrorCache& aCache, uint64_t aRevision);

/// Whether the store answered within a time, so that what is kept may be passed on as current.
bool
IsFresh(const MirrorCache& aCache, base::Duration aWithin, base::Instant aNow);

/// Whether so much is kept that the list should be read anew.
bool
IsOverSizeLimit(const MirrorCache& aCache);

} // namespace sapphirewind::engine
