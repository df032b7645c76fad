/// @file The followed platform objects as far as this instance has seen them.
///
/// An object is replaced only by a higher version, whether it comes from a watch, a slow poll or a
/// peer. So an accepted configuration spreads also while the platform is down, and an old read
/// after a new one changes nothing.
#pragma once

#include <json/value.h>
#include <map>
#include <mutex>
#include <optional>
#include <platform/Store.h>
#include <string>
#include <vector>

namespace sapphirewind::tier {

/// The fleet up to which instances pass the platform's list of instances on to each other. In a
/// larger one the list is long and changes all the time; there, membership rumours alone carry who
/// comes and goes.
constexpr size_t kLargestFleetForList = 64;

/// Whether instances pass an object on to each other.
bool
IsPassedOn(const std::string& aName, size_t aFleet);

/// Thread-safe.
class ObjectCache
{
public:
  /// Takes an object in if its version is higher than the known one; says whether it was.
  bool Offer(const std::string& aName, const platform::VersionedValue& aObject);

  std::optional<platform::VersionedValue> Get(const std::string& aName) const;

  uint64_t VersionOf(const std::string& aName) const;

  /// Names with versions, in order of name.
  std::vector<platform::ObjectChange> Versions() const;

  /// Objects under a prefix, in order of name.
  std::vector<platform::VersionedValue> Under(const std::string& aPrefix) const;

  /// A hash over the names and versions passed on; equal hashes mean that there is nothing to
  /// exchange.
  uint64_t Digest(size_t aFleet) const;

private:
  mutable std::mutex mutex;
  std::map<std::string, platform::VersionedValue> objects;
};

} // namespace sapphirewind::tier
