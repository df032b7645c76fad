#include <tier/ClaimWriter.h>

#include <algorithm>
#include <base/Random.h>
#include <telemetry/Events.h>
#include <thread>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr size_t kMaxBackoffDoublings = 5;

/// Exponential backoff with jitter, so that retries do not overload a failing store.
base::Duration
BackoffBefore(size_t aAttempt)
{
  base::Duration span = kInitialBackoff * (1 << std::min(aAttempt, kMaxBackoffDoublings));
  double jitter = 0.5 + base::UniformUnit(base::ThreadRandom());
  return base::Duration(static_cast<int64_t>(static_cast<double>(span.count()) * jitter));
}

/// Whether a verdict may be wrong if the cached copy of the bucket is out of date. Such verdicts
/// are checked against a newly read copy.
bool
NeedsFreshCopy(claims::Verdict aVerdict)
{
  return aVerdict == claims::Verdict::OutcomeUnknown || aVerdict == claims::Verdict::Full ||
         aVerdict == claims::Verdict::NotHolder;
}

} // namespace

ClaimWriter::ClaimWriter(platform::Store& aStore, Counters& aCounters)
  : store(aStore)
  , counters(aCounters)
{
  for (std::unique_ptr<Bucket>& bucket : this->buckets) {
    bucket = std::make_unique<Bucket>();
  }
}

ClaimWriter::~ClaimWriter() = default;

std::optional<claims::OperationResult>
ClaimWriter::Submit(const claims::Operation& aOperation, base::Instant aDeadline)
{
  size_t index = claims::BucketOf(aOperation.key);
  Bucket& bucket = *this->buckets[index];
  auto pending = std::make_shared<Pending>();
  pending->operation = aOperation;
  pending->deadline = aDeadline;
  std::unique_lock<std::mutex> lock(bucket.mutex);
  bucket.waiting.push_back(pending);
  while (!pending->finished) {
    if (bucket.writing) {
      bucket.changed.wait(lock);
      continue;
    }
    // This thread writes the batch of all operations that are waiting now.
    std::vector<std::shared_ptr<Pending>> batch = std::move(bucket.waiting);
    bucket.waiting.clear();
    bucket.writing = true;
    lock.unlock();
    this->Commit(index, bucket, batch);
    lock.lock();
    bucket.writing = false;
    bucket.changed.notify_all();
  }
  return pending->result;
}

bool
ClaimWriter::Load(size_t aIndex, Bucket& aBucket)
{
  ++this->counters.storeCalls;
  base::Result<platform::VersionedValue> read = this->store.Read(claims::BucketObjectName(aIndex));
  if (!read) {
    if (read.Error().code != platform::Errc::NotFound) {
      return false;
    }
    aBucket.cached = claims::Bucket();
    aBucket.version = platform::kAbsent;
    return true;
  }
  aBucket.cached = claims::BucketFromJson(read->value);
  aBucket.version = read->version;
  return aBucket.cached.has_value();
}

bool
ClaimWriter::TryCommit(size_t aIndex,
                       Bucket& aBucket,
                       std::vector<std::shared_ptr<Pending>>& aBatch)
{
  bool fresh = !aBucket.cached;
  if (fresh && !this->Load(aIndex, aBucket)) {
    return false;
  }
  claims::Bucket next = *aBucket.cached;
  claims::Prune(next, base::WallClockMillis());
  bool recheck = false;
  for (const std::shared_ptr<Pending>& pending : aBatch) {
    pending->result = claims::Apply(next, pending->operation);
    recheck = recheck || NeedsFreshCopy(pending->result->verdict);
  }
  if (recheck && !fresh) {
    aBucket.cached.reset();
    return false;
  }
  if (next == *aBucket.cached) {
    return true;
  }
  ++this->counters.storeCalls;
  base::Result<uint64_t> written =
    this->store.Write(claims::BucketObjectName(aIndex), claims::ToJson(next), aBucket.version);
  if (!written) {
    // The write may have taken effect. The next attempt reads the bucket again and finds the nonces
    // of this batch if it did.
    aBucket.cached.reset();
    return false;
  }
  aBucket.cached = std::move(next);
  aBucket.version = *written;
  return true;
}

void
ClaimWriter::Commit(size_t aIndex, Bucket& aBucket, std::vector<std::shared_ptr<Pending>>& aBatch)
{
  base::Instant latestDeadline = base::Instant::min();
  for (const std::shared_ptr<Pending>& pending : aBatch) {
    latestDeadline = std::max(latestDeadline, pending->deadline);
  }
  bool done = this->TryCommit(aIndex, aBucket, aBatch);
  for (size_t attempt = 0; !done; ++attempt) {
    base::Instant next = base::Now() + BackoffBefore(attempt);
    if (next >= latestDeadline) {
      break;
    }
    std::this_thread::sleep_until(next);
    done = this->TryCommit(aIndex, aBucket, aBatch);
  }
  if (!done) {
    telemetry::Log(telemetry::Event::ClaimWriteFailed, { { "bucket", aIndex } });
  }
  std::lock_guard<std::mutex> lock(aBucket.mutex);
  for (const std::shared_ptr<Pending>& pending : aBatch) {
    if (!done) {
      pending->result.reset();
    }
    pending->finished = true;
  }
}

} // namespace sapphirewind::tier
