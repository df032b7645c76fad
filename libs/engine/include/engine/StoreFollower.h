/// @file Follows one kind of the store's objects: lists them, then watches for changes from the
/// revision of the list.
///
/// The store answers each watch within the watch's short wait even if nothing changed, so a missing
/// answer means an unresponsive connection.
#pragma once

#include <base/Random.h>
#include <engine/StoreConnection.h>
#include <engine/StoreMirror.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

/// Where a follower reads from: the store, or an instance that mirrors it.
struct StoreSource
{
  Tcp::endpoint endpoint;
  bool isMirror = false;
  /// How long a watch may wait at this source.
  base::Duration watchWait{ 0 };
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
    /// Selects the source of the next call.
    std::function<StoreSource()> chooseSource;
    /// Called when a mirror did not answer or answered with an error.
    std::function<void(const StoreSource&)> onMirrorFailed;
    /// Called with the raw body of a list's page, with the name that the page continues after, and
    /// of a watch's answer, for instances that follow this one as a mirror.
    std::function<void(const std::string&, std::shared_ptr<const std::string>)> onPageBody;
    std::function<void(uint64_t, MirroredUpdate, std::shared_ptr<const std::string>)> onChangesBody;
    /// Called with a complete list and the store's revision that it reflects.
    std::function<void(const std::vector<StoredObject>&, uint64_t)> onList;
    /// Called with changes, in the order of their revisions.
    std::function<void(const std::vector<StoredObject>&)> onChanges;
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

  const StoreSource& Source() const { return this->source; }

private:
  void Call();
  void OnAnswer(StoreAnswer&& aAnswer);
  void UseSource(const StoreSource& aSource);
  void OnListPage(HttpResponse&& aResponse);
  void OnChanges(HttpResponse&& aResponse);
  void Fail(const char* aCause);
  void Succeed();
  void ScheduleCall(base::Duration aDelay);

  Options options;
  std::shared_ptr<StoreConnection> connection;
  StoreSource source;
  Timer delayTimer;
  bool listing = true;
  bool lost = false;
  bool stopped = false;
  unsigned consecutiveFailures = 0;
  std::string listAfter;
  std::vector<StoredObject> listed;
  uint64_t listRevision = 0;
  uint64_t revision = 0;
};

} // namespace sapphirewind::engine
