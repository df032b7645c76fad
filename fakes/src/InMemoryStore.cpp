#include <fakes/InMemoryStore.h>

#include <algorithm>
#include <thread>

namespace sapphirewind::fakes {

namespace {

/// Values of an object that are kept for stale reads.
constexpr size_t kMaxHistoryEntries = 64;
constexpr base::Duration kLagPollInterval = std::chrono::milliseconds(20);

base::Failure
Unavailable()
{
  return base::Failure{ .code = platform::Errc::Unavailable, .detail = "injected fault" };
}

bool
IsListObject(const std::string& aName)
{
  return aName == platform::kInstancesObject || aName.starts_with(platform::kServersPrefix);
}

} // namespace

bool
InMemoryStore::BeginCall(uint64_t PlatformCalls::*aCounter)
{
  base::Duration delay;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++(this->calls.*aCounter);
    base::Instant now = base::Now();
    if (now - this->currentSecondStart >= std::chrono::seconds(1)) {
      this->currentSecondStart = now;
      this->callsThisSecond = 0;
    }
    ++this->callsThisSecond;
    this->calls.peakPerSecond = std::max(this->calls.peakPerSecond, this->callsThisSecond);
    delay = this->faults.delay;
  }
  std::this_thread::sleep_for(delay);
  std::lock_guard<std::mutex> lock(this->mutex);
  return !this->faults.down;
}

base::Duration
InMemoryStore::VisibilityLag(const std::string& aName) const
{
  base::Duration lag = this->faults.staleBy;
  return IsListObject(aName) ? std::max(lag, this->faults.listLag) : lag;
}

const InMemoryStore::Entry*
InMemoryStore::VisibleEntry(const std::string& aName, base::Duration aLag, base::Instant aNow) const
{
  auto found = this->objects.find(aName);
  if (found == this->objects.end()) {
    return nullptr;
  }
  const History& history = found->second;
  for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
    if (aLag.count() == 0 || aNow - entry->writtenAt >= aLag) {
      return &*entry;
    }
  }
  return &history.front();
}

uint64_t
InMemoryStore::Append(const std::string& aName, const Json::Value& aValue)
{
  History& history = this->objects[aName];
  uint64_t version = history.empty() ? 1 : history.back().version + 1;
  history.push_back(Entry{
    .version = version, .revision = ++this->revision, .writtenAt = base::Now(), .value = aValue });
  if (history.size() > kMaxHistoryEntries) {
    history.erase(history.begin());
  }
  this->changed.notify_all();
  return version;
}

base::Result<platform::VersionedValue>
InMemoryStore::Read(const std::string& aName)
{
  if (!this->BeginCall(&PlatformCalls::reads)) {
    return Unavailable();
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  const Entry* entry = this->VisibleEntry(aName, this->VisibilityLag(aName), base::Now());
  if (!entry) {
    return base::Failure{ .code = platform::Errc::NotFound, .detail = aName };
  }
  return platform::VersionedValue{ .version = entry->version, .value = entry->value };
}

base::Result<uint64_t>
InMemoryStore::Write(const std::string& aName, const Json::Value& aValue, uint64_t aExpectedVersion)
{
  if (!this->BeginCall(&PlatformCalls::writes)) {
    return Unavailable();
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->objects.find(aName);
  uint64_t current =
    found == this->objects.end() ? platform::kAbsent : found->second.back().version;
  if (current != aExpectedVersion) {
    return base::Failure{ .code = platform::Errc::Conflict, .detail = aName };
  }
  uint64_t version = this->Append(aName, aValue);
  if (this->faults.loseAnswers > 0) {
    --this->faults.loseAnswers;
    return Unavailable();
  }
  return version;
}

platform::WatchResponse
InMemoryStore::Collect(const std::string& aPrefix, uint64_t aAfter, base::Instant aNow) const
{
  platform::WatchResponse answer{ .revision = aAfter, .changes = {} };
  for (const auto& [name, history] : this->objects) {
    if (!name.starts_with(aPrefix)) {
      continue;
    }
    const Entry* entry = this->VisibleEntry(name, this->VisibilityLag(name), aNow);
    if (entry->revision > aAfter) {
      answer.changes.push_back(platform::ObjectChange{ .name = name, .version = entry->version });
    }
    answer.revision = std::max(answer.revision, entry->revision);
  }
  return answer;
}

base::Result<platform::WatchResponse>
InMemoryStore::Watch(const std::string& aPrefix, uint64_t aAfterRevision, base::Duration aWait)
{
  if (!this->BeginCall(&PlatformCalls::watches)) {
    return Unavailable();
  }
  base::Instant end = base::Now() + aWait;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    if (this->faults.down) {
      return Unavailable();
    }
    base::Instant now = base::Now();
    platform::WatchResponse answer = this->Collect(aPrefix, aAfterRevision, now);
    // While lists lag, a later revision can become visible before an earlier one. The revision
    // therefore does not advance, so that the next watch misses no change.
    if (this->faults.listLag.count() > 0) {
      answer.revision = aAfterRevision;
    }
    if (!answer.changes.empty() || now >= end) {
      return answer;
    }
    this->changed.wait_until(lock, std::min(end, now + kLagPollInterval));
  }
}

void
InMemoryStore::SetFaults(const PlatformFaults& aFaults)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->faults = aFaults;
  this->changed.notify_all();
}

PlatformFaults
InMemoryStore::Faults() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->faults;
}

PlatformCalls
InMemoryStore::Calls() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->calls;
}

void
InMemoryStore::ForceWrite(const std::string& aName, const Json::Value& aValue)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->Append(aName, aValue);
}

} // namespace sapphirewind::fakes
