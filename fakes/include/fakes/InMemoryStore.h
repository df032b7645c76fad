/// @file An in-memory fake of the platform's object API, with fault injection.
#pragma once

#include <base/Time.h>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <platform/Store.h>
#include <string>
#include <vector>

namespace sapphirewind::fakes {

/// The faults currently injected.
struct PlatformFaults
{
  bool down = false;
  /// Delay added to every call.
  base::Duration delay{ 0 };
  /// The number of further writes that take effect but fail to the caller, as if the response were
  /// lost.
  size_t loseAnswers = 0;
  /// Reads and watches return the state as of this long ago.
  base::Duration staleBy{ 0 };
  /// Reads and watches of the lists of instances and servers lag by this.
  base::Duration listLag{ 0 };
};

/// Calls since the start; a pending watch counts as one.
struct PlatformCalls
{
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  /// The most calls in any one second.
  uint64_t peakPerSecond = 0;
};

/// Thread-safe.
class InMemoryStore final : public platform::Store
{
public:
  base::Result<platform::VersionedValue> Read(const std::string& aName) override;
  base::Result<uint64_t> Write(const std::string& aName,
                               const Json::Value& aValue,
                               uint64_t aExpectedVersion) override;
  base::Result<platform::WatchResponse> Watch(const std::string& aPrefix,
                                              uint64_t aAfterRevision,
                                              base::Duration aWait) override;

  void SetFaults(const PlatformFaults& aFaults);
  PlatformFaults Faults() const;
  PlatformCalls Calls() const;

  /// Writes regardless of the version and of injected faults; for test setup.
  void ForceWrite(const std::string& aName, const Json::Value& aValue);

private:
  struct Entry
  {
    uint64_t version = 0;
    uint64_t revision = 0;
    base::Instant writtenAt{};
    Json::Value value;
  };
  using History = std::vector<Entry>;

  bool BeginCall(uint64_t PlatformCalls::*aCounter);
  base::Duration VisibilityLag(const std::string& aName) const;
  const Entry* VisibleEntry(const std::string& aName,
                            base::Duration aLag,
                            base::Instant aNow) const;
  uint64_t Append(const std::string& aName, const Json::Value& aValue);
  platform::WatchResponse Collect(const std::string& aPrefix,
                                  uint64_t aAfter,
                                  base::Instant aNow) const;

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, History> objects;
  uint64_t revision = 0;
  PlatformFaults faults;
  PlatformCalls calls;
  base::Instant currentSecondStart{};
  uint64_t callsThisSecond = 0;
};

} // namespace sapphirewind::fakes
