/// @file The platform's object API: versions, conditional writes and watches.
#pragma once

#include <base/Result.h>
#include <base/Time.h>
#include <cstdint>
#include <json/value.h>
#include <memory>
#include <net/Connection.h>
#include <string>
#include <vector>

namespace sapphirewind::platform {

enum class Errc
{
  Unavailable = 1, ///< No answer; a write may have taken effect.
  Conflict,        ///< The object has another version; nothing was written.
  NotFound,
  Malformed ///< The platform's answer cannot be read.
};

std::error_code
make_error_code(Errc aError);

/// An object's value with its version. Versions of one object only grow.
struct VersionedValue
{
  uint64_t version = 0;
  Json::Value value;
};

/// The version to expect of an object that must not exist yet.
constexpr uint64_t kAbsent = 0;

/// One object that a watch reports as changed.
struct ObjectChange
{
  std::string name;
  uint64_t version = 0;

  auto operator<=>(const ObjectChange&) const = default;
};

struct WatchResponse
{
  /// The point in the platform's history to watch on from.
  uint64_t revision = 0;
  std::vector<ObjectChange> changes;
};

/// What the tier needs of the platform. Implementations are thread-safe.
class Store
{
public:
  virtual ~Store() = default;

  /// Errors: Unavailable, NotFound, Malformed. May serve an old version for a while.
  virtual base::Result<VersionedValue> Read(const std::string& aName) = 0;

  /// Writes if the object still has the expected version; returns the new version.
  /// Errors: Unavailable (it may have taken effect), Conflict, Malformed.
  virtual base::Result<uint64_t> Write(const std::string& aName,
                                       const Json::Value& aValue,
                                       uint64_t aExpectedVersion) = 0;

  /// Waits up to a time for changes under a prefix after a revision; revision 0 lists everything.
  /// Errors: Unavailable, Malformed.
  virtual base::Result<WatchResponse> Watch(const std::string& aPrefix,
                                            uint64_t aAfterRevision,
                                            base::Duration aWait) = 0;
};

/// The store over HTTP.
class HttpStore final : public Store
{
public:
  HttpStore(net::Endpoint aPlatform, base::Duration aTimeout);

  base::Result<VersionedValue> Read(const std::string& aName) override;
  base::Result<uint64_t> Write(const std::string& aName,
                               const Json::Value& aValue,
                               uint64_t aExpectedVersion) override;
  base::Result<WatchResponse> Watch(const std::string& aPrefix,
                                    uint64_t aAfterRevision,
                                    base::Duration aWait) override;

private:
  net::ConnectionPool pool;
  const base::Duration timeout;
};

/// The objects that instances follow stand under this prefix.
inline constexpr const char* kWatchedPrefix = "tier/";
inline constexpr const char* kConfigurationObject = "tier/configuration";
inline constexpr const char* kInstancesObject = "tier/instances";
inline constexpr const char* kServersPrefix = "tier/servers/";
inline constexpr const char* kIndexPrefix = "tier/index/";

} // namespace sapphirewind::platform

template<>
struct std::is_error_code_enum<sapphirewind::platform::Errc> : std::true_type
{
};
