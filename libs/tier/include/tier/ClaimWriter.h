/// @file Writes claims in group commits: one conditional write per bucket for all waiting
/// operations.
#pragma once

#include <array>
#include <base/Result.h>
#include <base/Time.h>
#include <claims/Bucket.h>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <platform/Store.h>
#include <tier/SharedState.h>
#include <vector>

namespace sapphirewind::tier {

/// Thread-safe. Each bucket has its own lock.
class ClaimWriter
{
public:
  ClaimWriter(platform::Store& aStore, Counters& aCounters);
  ~ClaimWriter();

  /// Applies an operation and returns its result once it is stored. Empty if this could not be
  /// confirmed by the deadline; the same operation may then be retried, here or on another
  /// instance.
  std::optional<claims::OperationResult> Submit(const claims::Operation& aOperation,
                                                base::Instant aDeadline);

private:
  struct Pending
  {
    claims::Operation operation;
    base::Instant deadline{};
    std::optional<claims::OperationResult> result;
    bool finished = false;
  };
  struct Bucket
  {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::shared_ptr<Pending>> waiting;
    bool writing = false;
    /// The bucket as last written or read by this instance.
    std::optional<claims::Bucket> cached;
    uint64_t version = platform::kAbsent;
  };

  void Commit(size_t aIndex, Bucket& aBucket, std::vector<std::shared_ptr<Pending>>& aBatch);
  bool Load(size_t aIndex, Bucket& aBucket);
  bool TryCommit(size_t aIndex, Bucket& aBucket, std::vector<std::shared_ptr<Pending>>& aBatch);

  platform::Store& store;
  Counters& counters;
  std::array<std::unique_ptr<Bucket>, claims::kBucketCount> buckets;
};

} // namespace sapphirewind::tier
