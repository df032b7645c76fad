/// @file Follows one kind of the store's objects: lists them, then watches for changes from the
/// revision of the list.
///
/// The first list may be seconds old, each page by a different time, as such a list costs a tenth;
/// the watch starts at the oldest page's revision and so returns whatever the list lacks.
///
/// The store answers each watch within the watch's short wait even if nothing changed, so a missing
/// answer means an unresponsive connection. Whether the store itself is unavailable is then decided
/// by calls that do not wait (directory/StoreAvailability.h).
#pragma once

#include <base/Random.h>
#include <directory/MirrorTree.h>
#include <directory/StoreAvailability.h>
#include <engine/OneShotTimer.h>
#include <engine/StoreConnection.h>
#include <engine/StoreMirror.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

class EraObserver;

/// The name of a kind in log records.
const char*
NameOf(StoreKind aKind);

/// Where a follower reads from: the store, or an instance that mirrors it.
struct StoreSource
{
  Tcp::endpoint endpoint;
  bool isMirror = false;
  /// How long a watch may wait at this source.
  base::Duration watchWait{ 0 };
};

/// What the next call is for.
enum class SourceUse
{
  FirstList, ///< The first list since the start.
  Relist,    ///< A list that replaces one whose changes can no longer be had.
  Watch
};

/// How the last call was answered and what that cost, for log records.
struct ReadCost
{
  uint64_t bytes = 0;
  /// From the call to the complete answer.
  base::Duration took{ 0 };
  base::Duration decoding{ 0 };
  /// The HTTP status; 0 without an answer.
  unsigned status = 0;
};

class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
  struct Options
  {
    Loop& loop;
    const StoreCodec& codec;
    StoreKind kind = StoreKind::Configuration;
    base::Random& random;
    Metrics& metrics;
    EraObserver& eras;
    /// Selects the source of the next call; empty when there is none now.
    std::function<std::optional<StoreSource>(SourceUse)> chooseSource;
    /// Called when a source did not answer usably.
    std::function<void(const StoreSource&, directory::MirrorFailure)> onSourceFailed;
    /// Called when a source answered usably.
    std::function<void(const StoreSource&)> onSourceAnswered;
    /// Called with the raw body of a list's page, with the name that the page continues after, and
    /// of a watch's answer, for instances that follow this one as a mirror.
    /// The time is that of the store's answer.
    std::function<void(const std::string&, std::shared_ptr<const RelayedBody>, base::Instant)>
      onPageBody;
    std::function<void(const directory::StorePosition&,
                       MirroredUpdate,
                       std::shared_ptr<const RelayedBody>,
                       base::Instant)>
      onChangesBody;
    /// Called with a complete list and the store's position that it reflects.
    std::function<void(std::vector<StoredObject>&&, const directory::StorePosition&)> onList;
    /// Called with changes, in the order of their revisions.
    std::function<void(std::vector<StoredObject>&&)> onChanges;
    /// Called when the store stops answering this instance, and when it answers again; onRecovered
    /// runs before the callbacks for the contents of that answer.
    std::function<void(const char* aCause)> onLost;
    std::function<void()> onRecovered;
  };

  explicit StoreFollower(Options aOptions);

  void Start();
  void Stop();

  /// Reads the complete list again before the next watch.
  void Relist();

  /// Drops the call in progress and all that was read of a list, and lists anew: the store has
  /// returned from an older copy.
  void OnNewEra();

  const StoreSource& Source() const { return this->source; }
  const ReadCost& LastRead() const { return this->lastRead; }

  /// Calls the next source now if the follower waits for one, for example once mirrors are known.
  void OnSourcesChanged();

private:
  void Call();
  void OnAnswer(StoreAnswer&& aAnswer);
  void UseSource(const StoreSource& aSource);
  void OnListPage(const std::shared_ptr<const RelayedBody>& aBody, base::Instant aAnsweredAt);
  void OnChanges(const std::shared_ptr<const RelayedBody>& aBody, base::Instant aAnsweredAt);
  void Fail(const char* aCause, directory::MirrorFailure aFailure);
  void Succeed();
  SourceUse NextUse() const;
  base::Duration Backoff();
  base::Duration Jittered(base::Duration aDelay);
  void RestartList();
  void ScheduleCall(base::Duration aDelay);

  Options options;
  std::shared_ptr<StoreConnection> connection;
  StoreSource source;
  ReadCost lastRead;
  OneShotTimer delayTimer;
  bool listing = true;
  bool hasListed = false;
  /// A list that may be seconds old is of no use right after the store returned from an older copy.
  bool mayListOld = true;
  bool awaitsSource = false;
  bool stopped = false;
  unsigned consecutiveFailures = 0;
  directory::StoreAvailability availability;
  std::string listAfter;
  std::vector<StoredObject> listed;
  directory::StorePosition listPosition;
  directory::StorePosition position;
};

} // namespace sapphirewind::engine
