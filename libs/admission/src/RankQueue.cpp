#include <admission/RankQueue.h>

#include <algorithm>
#include <cmath>

namespace sapphirewind::admission {

namespace {

double
DecayFactor(base::Duration aElapsed)
{
  if (aElapsed.count() <= 0) {
    return 1.0;
  }
  return std::exp(-static_cast<double>(aElapsed.count()) /
                  static_cast<double>(kShareWindow.count()));
}

} // namespace

bool
RankQueue::Order::operator()(const WorkItem& aLeft, const WorkItem& aRight) const
{
  if (aLeft.deadline != aRight.deadline) {
    return aLeft.deadline < aRight.deadline;
  }
  return aLeft.id < aRight.id;
}

void
RankQueue::Push(WorkItem aItem)
{
  ClassQueue& queue = this->classes[aItem.policy.className];
  queue.policy = aItem.policy;
  queue.items.insert(std::move(aItem));
  ++this->count;
}

void
RankQueue::Decay(base::Instant aNow)
{
  double factor = DecayFactor(aNow - this->decayedAt);
  this->decayedAt = aNow;
  this->servedTotal *= factor;
  for (auto& [name, queue] : this->classes) {
    queue.served *= factor;
  }
}

RankQueue::ClassQueue*
RankQueue::NextBelowGuarantee()
{
  ClassQueue* next = nullptr;
  double largestDeficit = 0.0;
  for (auto& [name, queue] : this->classes) {
    if (queue.items.empty() || queue.policy.guaranteedShare <= 0.0) {
      continue;
    }
    double guaranteed = queue.policy.guaranteedShare * this->servedTotal;
    double deficit = (guaranteed - queue.served) / queue.policy.guaranteedShare;
    if (deficit > largestDeficit) {
      largestDeficit = deficit;
      next = &queue;
    }
  }
  return next;
}

RankQueue::ClassQueue*
RankQueue::NextByRank()
{
  ClassQueue* next = nullptr;
  for (auto& [name, queue] : this->classes) {
    if (queue.items.empty()) {
      continue;
    }
    bool higher = next && queue.policy.rank < next->policy.rank;
    bool earlier = next && queue.policy.rank == next->policy.rank &&
                   Order()(*queue.items.begin(), *next->items.begin());
    if (!next || higher || earlier) {
      next = &queue;
    }
  }
  return next;
}

std::optional<WorkItem>
RankQueue::Pop(base::Instant aNow)
{
  return this->PopIf(aNow, [](const WorkItem&, bool) { return true; });
}

std::optional<WorkItem>
RankQueue::PopIf(base::Instant aNow, const MayServe& aMayServe)
{
  this->Decay(aNow);
  ClassQueue* queue = this->NextBelowGuarantee();
  if (!queue || !aMayServe(*queue->items.begin(), true)) {
    queue = this->NextByRank();
    if (!queue || !aMayServe(*queue->items.begin(), false)) {
      return std::nullopt;
    }
  }
  WorkItem item = *queue->items.begin();
  queue->items.erase(queue->items.begin());
  queue->served += 1.0;
  this->servedTotal += 1.0;
  --this->count;
  return item;
}

bool
RankQueue::Remove(uint64_t aId)
{
  for (auto& [name, queue] : this->classes) {
    auto found = std::find_if(queue.items.begin(), queue.items.end(), [&](const WorkItem& aItem) {
      return aItem.id == aId;
    });
    if (found != queue.items.end()) {
      queue.items.erase(found);
      --this->count;
      return true;
    }
  }
  return false;
}

std::vector<WorkItem>
RankQueue::DropLate(base::Instant aNow, const MinServiceTime& aMinServiceTime)
{
  std::vector<WorkItem> dropped;
  for (auto& [name, queue] : this->classes) {
    base::Instant earliestFinish = aNow + aMinServiceTime(queue.policy.rank);
    while (!queue.items.empty() && queue.items.begin()->deadline < earliestFinish) {
      dropped.push_back(*queue.items.begin());
      queue.items.erase(queue.items.begin());
      --this->count;
    }
  }
  return dropped;
}

std::optional<WorkItem>
RankQueue::EvictBelow(model::Rank aRank)
{
  ClassQueue* lowest = nullptr;
  for (auto& [name, queue] : this->classes) {
    if (queue.items.empty() || queue.policy.rank <= aRank) {
      continue;
    }
    if (!lowest || queue.policy.rank > lowest->policy.rank) {
      lowest = &queue;
    }
  }
  if (!lowest) {
    return std::nullopt;
  }
  auto last = std::prev(lowest->items.end());
  WorkItem item = *last;
  lowest->items.erase(last);
  --this->count;
  return item;
}

size_t
RankQueue::SizeAtOrAbove(model::Rank aRank) const
{
  size_t size = 0;
  for (const auto& [name, queue] : this->classes) {
    size += queue.policy.rank <= aRank ? queue.items.size() : 0;
  }
  return size;
}

std::optional<base::Instant>
RankQueue::EarliestDeadline() const
{
  std::optional<base::Instant> earliest;
  for (const auto& [name, queue] : this->classes) {
    if (!queue.items.empty() && (!earliest || queue.items.begin()->deadline < *earliest)) {
      earliest = queue.items.begin()->deadline;
    }
  }
  return earliest;
}

double
RankQueue::ServedShare(const std::string& aClass, base::Instant) const
{
  auto found = this->classes.find(aClass);
  if (found == this->classes.end() || this->servedTotal <= 0.0) {
    return 0.0;
  }
  return found->second.served / this->servedTotal;
}

} // namespace sapphirewind::admission
