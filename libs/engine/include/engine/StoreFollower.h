/// @file Follows one kind of the store's objects: lists it, then watches for changes from there.
///
/// A watch that waits is told from a connection that fell silent by its own short wait: the store
/// answers in any case within it.
#pragma once

#include <base/Random.h>
#include <engine/StoreConnection.h>
#include <engine/StoreMirror.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

/// Where a follower asks: the store, or an instance that mirrors it.
struct StoreSource
{
  Tcp::endpoint endpoint;
  bool isMirror = false;
  /// How long a watch may wait there.
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
    /// Where to make the next call.
    std::function<StoreSource()> chooseSource;
    /// A mirror did not answer or could not.
    std::function<void(const StoreSource&)> onMirrorFailed;
    /// A page of a list by the name that it continues after, and a watch's answer: the bytes, for
    /// others that follow this instance.
    std::function<void(const std::string&, std::shared_ptr<const std::string>)> onPageBody;
    std::function<void(uint64_t, MirroredUpdate, std::shared_ptr<const std::string>)> onChangesBody;
    /// A whole list, with the store's revision that it reflects.
    std::function<void(const std::vector<StoredObject>&, uint64_t)> onList;
    /// Changes, in order.
    std::function<void(const std::vector<StoredObject>&)> onChanges;
    /// The store does not answer this instance any more, or answers again. The return is told
    /// before what it brings.
    std::function<void(const char* aCause)> onLost;
    std::function<void()> onRecovered;
  };

  explicit StoreFollower(Options aOptions);

  void Start();
  void Stop();

  /// Reads the whole list again before the next watch.
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
