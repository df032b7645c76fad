/// @file The cached copies of the platform objects that an instance follows.
///
/// An object is replaced only by a higher version, whether it comes from a watch, a slow poll or a
/// peer. Therefore an accepted configuration also spreads while the platform is down, and a stale
/// read after a newer one changes nothing.
#pragma once

#include <json/value.h>
#include <map>
#include <mutex>
#include <optional>
#include <platform/Store.h>
#include <string>
#include <vector>

namespace sapphirewind::tier {

/// The number of instances up to which they relay the platform's list of instances to each other.
/// Above it the list is long and changes constantly; joins and departures then spread through
/// membership updates alone.
constexpr size_t kMaxInstancesForListRelay = 64;

/// Whether instances relay an object to each other.
bool
IsRelayed(const std::string& aName, size_t aInstanceCount);

/// Thread-safe.
class ObjectCache
{
public:
  /// Stores an object if its version is higher than the cached one; returns whether it was.
  bool UpdateIfNewer(const std::string& aName, const platform::VersionedValue& aObject);

  std::optional<platform::VersionedValue> Get(const std::string& aName) const;

  uint64_t VersionOf(const std::string& aName) const;

  /// Names and versions of all objects, sorted by name.
  std::vector<platform::ObjectChange> Versions() const;

  /// Objects whose names start with a prefix, sorted by name.
  std::vector<platform::VersionedValue> ListWithPrefix(const std::string& aPrefix) const;

  /// A hash over the names and versions of the relayed objects; peers with equal hashes have
  /// nothing to exchange.
  uint64_t Digest(size_t aInstanceCount) const;

private:
  mutable std::mutex mutex;
  std::map<std::string, platform::VersionedValue> objects;
};

} // namespace sapphirewind::tier
