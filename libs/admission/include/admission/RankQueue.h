/// @file Priority queue with a guaranteed share of service per class, which drops work that cannot
/// meet its deadline.
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

/// A queued request. Ids are unique within a queue.
struct WorkItem
{
  uint64_t id = 0;
  model::ClassPolicy policy;
  base::Instant arrived{};
  base::Instant deadline{};

  bool operator==(const WorkItem&) const = default;
};

/// The time constant of the exponential decay of served counts.
constexpr base::Duration kShareWindow = std::chrono::seconds(2);

/// A queue of requests of several classes. Not thread-safe.
///
/// A class whose recent share of service is below its guaranteed share is served first. Otherwise
/// higher ranks are served first, and requests of the same rank by earliest deadline.
class RankQueue
{
public:
  void Push(WorkItem aItem);

  /// Removes the next item and counts it as served.
  std::optional<WorkItem> Pop(base::Instant aNow);

  /// Returns whether an item may be served now. aBelowGuarantee is set if the item is next because
  /// its class is below its guaranteed share.
  using MayServe = std::function<bool(const WorkItem& aItem, bool aBelowGuarantee)>;

  /// Removes and counts the next item if it may be served now: the item of the class furthest below
  /// its guaranteed share, else the next item by rank.
  std::optional<WorkItem> PopIf(base::Instant aNow, const MayServe& aMayServe);

  /// Removes an item without counting it as served.
  bool Remove(uint64_t aId);

  /// Returns the minimum service time of a rank.
  using MinServiceTime = std::function<base::Duration(model::Rank aRank)>;

  /// Removes and returns the items that cannot finish before their deadline.
  std::vector<WorkItem> DropLate(base::Instant aNow, const MinServiceTime& aMinServiceTime);

  /// Removes the item to evict when the queue is full: the one with the latest deadline in a class
  /// of the lowest rank. Returns nothing if no queued item has a lower rank than aRank.
  std::optional<WorkItem> EvictBelow(model::Rank aRank);

  size_t Size() const { return this->count; }
  /// The number of items of a rank and all higher ranks.
  size_t SizeAtOrAbove(model::Rank aRank) const;

  /// The earliest deadline of all queued items.
  std::optional<base::Instant> EarliestDeadline() const;

  /// The share of recently served items that belong to a class.
  double ServedShare(const std::string& aClass, base::Instant aNow) const;

private:
  struct Order
  {
    bool operator()(const WorkItem& aLeft, const WorkItem& aRight) const;
  };
  struct ClassQueue
  {
    model::ClassPolicy policy;
    std::set<WorkItem, Order> items;
    double served = 0.0;
  };
  void Decay(base::Instant aNow);
  ClassQueue* NextBelowGuarantee();
  ClassQueue* NextByRank();

  std::map<std::string, ClassQueue> classes;
  size_t count = 0;
  double servedTotal = 0.0;
  base::Instant decayedAt{};
};

} // namespace sapphirewind::admission
