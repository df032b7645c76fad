/// @file Client for the platform's object API with versions, conditional writes and watches.
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
  Unavailable = 1, ///< No usable response; a write may have taken effect.
  Conflict,        ///< The object has another version; nothing was written.
  NotFound,
  Malformed ///< The platform's response is malformed.
};

std::error_code
make_error_code(Errc aError);

/// An object's value with its version. The version of an object increases with each write.
struct VersionedValue
{
  uint64_t version = 0;
  Json::Value value;
};

/// The expected version for a write that must create the object.
constexpr uint64_t kAbsent = 0;

/// A changed object as reported by a watch.
struct ObjectChange
{
  std::string name;
  uint64_t version = 0;

  auto operator<=>(const ObjectChange&) const = default;
};

struct WatchResponse
{
  /// The revision to continue the watch from.
  uint64_t revision = 0;
  std::vector<ObjectChange> changes;
};

/// The platform's object store. Implementations are thread-safe.
class Store
{
public:
  virtual ~Store() = default;

  /// Reads an object; the result may be stale. Errors: Unavailable, NotFound, Malformed.
  virtual base::Result<VersionedValue> Read(const std::string& aName) = 0;

  /// Writes an object if it has the expected version; returns the new version.
  /// Errors: Unavailable (the write may have taken effect), Conflict, Malformed.
  virtual base::Result<uint64_t> Write(const std::string& aName,
                                       const Json::Value& aValue,
                                       uint64_t aExpectedVersion) = 0;

  /// Waits up to aWait for changes under a prefix after a revision; revision 0 lists all objects.
  /// Errors: Unavailable, Malformed.
  virtual base::Result<WatchResponse> Watch(const std::string& aPrefix,
                                            uint64_t aAfterRevision,
                                            base::Duration aWait) = 0;
};

/// A client for the store over HTTP.
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

/// The prefix of the objects that instances watch.
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
