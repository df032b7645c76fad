/// @file A queue that serves urgent work first, keeps each class's floor, and drops what is too
/// late.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <model/Peer.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirewind::admission {

/// Work that waits. Ids are unique within a queue.
struct WorkItem
{
  uint64_t id = 0;
  model::Service handling;
  base::Instant arrived{};
  base::Instant deadline{};

  bool operator==(const WorkItem&) const = default;
};

/// The time over which shares of service are averaged.
constexpr base::Duration kShareWindow = std::chrono::seconds(2);

/// Waiting work of several classes. Not thread-safe.
///
/// A class with waiting work that was served less than its floor of late goes first; otherwise the
/// urgent rank before the others, and within a rank the earliest deadline.
class RankQueue
{
public:
  void Push(WorkItem aItem);

  /// Takes the next item and counts it as served.
  std::optional<WorkItem> Pop(base::Instant aNow);

  /// Says whether an item may be served now; aByFloor when its class is below its floor.
  using MayServe = std::function<bool(const WorkItem& aItem, bool aByFloor)>;

  /// Takes the next item if it may be served now: the one that its floor puts first, else the one
  /// that its rank does.
  std::optional<WorkItem> PopIf(base::Instant aNow, const MayServe& aMayServe);

  /// Takes a given item out, uncounted.
  bool Remove(uint64_t aId);

  /// The least time that work of a rank takes once it is served.
  using MinServiceTime = std::function<base::Duration(model::Rank aRank)>;

  /// Takes out what cannot be answered in time any more.
  std::vector<WorkItem> DropLate(base::Instant aNow, const MinServiceTime& aLeastTime);

  /// Takes out the item that should give way when the queue is full: the lowest rank, latest
  /// deadline. Empty when nothing waits that ranks lower than aRank.
  std::optional<WorkItem> EvictBelow(model::Rank aRank);

  size_t Size() const { return this->count; }
  /// Items of that rank or one served before it.
  size_t SizeAtOrAbove(model::Rank aRank) const;

  /// The earliest deadline of all that waits.
  std::optional<base::Instant> EarliestDeadline() const;

  /// The share of recent service that a class had.
  double ServedShare(const std::string& aClass, base::Instant aNow) const;

private:
  struct Order
  {
    bool operator()(const WorkItem& aLeft, const WorkItem& aRight) const;
  };
  struct ClassQueue
  {
    model::Service handling;
    std::set<WorkItem, Order> items;
    double served = 0.0;
  };
  void Decay(base::Instant aNow);
  ClassQueue* NextBelowFloor();
  ClassQueue* NextByRank();

  std::map<std::string, ClassQueue> classes;
  size_t count = 0;
  double servedTotal = 0.0;
  base::Instant decayedAt{};
};

} // namespace sapphirewind::admission
