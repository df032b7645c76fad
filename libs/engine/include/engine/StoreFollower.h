/// @file Follows one kind of the store's objects: lists it, then watches for changes from there.
///
/// A watch that waits is told from a connection that fell silent by its own short wait: the store
/// answers in any case within it.
#pragma once

#include <base/Random.h>
#include <engine/StoreConnection.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
  struct Options
  {
    Loop& loop;
    const StoreCodec& codec;
    StoreKind kind = StoreKind::Configuration;
    StoreConnection::Options connection;
    base::Random& random;
    /// How long a watch may wait for a change.
    base::Duration watchWait{ 0 };
    /// A whole list, with the store's revision that it reflects.
    std::function<void(const std::vector<StoredObject>&, uint64_t)> onList;
    /// Changes, in order.
    std::function<void(const std::vector<StoredObject>&)> onChanges;
    /// The store does not answer this instance any more, or answers again. The return is told
    /// before what it brings.
    std::function<void(const char* aCause)> onLost;
    std::function<void()> onReturned;
  };

  explicit StoreFollower(Options aOptions);

  void Start();
  void Stop();

private:
  void Call();
  void OnAnswer(StoreAnswer&& aAnswer);
  void OnListPage(const HttpResponse& aResponse);
  void OnChanges(const HttpResponse& aResponse);
  void Fail(const char* aCause);
  void Succeed();
  void CallAfter(base::Duration aDelay);

  Options options;
  std::shared_ptr<StoreConnection> connection;
  Timer pauseTimer;
  bool listing = true;
  bool lost = false;
  bool stopped = false;
  unsigned failuresInRow = 0;
  std::string listAfter;
  std::vector<StoredObject> listed;
  uint64_t listRevision = 0;
  uint64_t revision = 0;
};

} // namespace sapphirewind::engine
