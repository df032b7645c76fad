/// @file What the engine needs to know of messages beyond HTTP itself. The names that stand for it
/// on the wire are known only to the codec that is plugged in.
#pragma once

#include <directory/Configuration.h>
#include <directory/InstanceTracker.h>
#include <directory/ServerTable.h>
#include <dispatch/Upstream.h>
#include <engine/Asio.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::engine {

/// What a caller says about its request.
struct RequestMeta
{
  std::string id;
  /// How long the caller waits; empty when it does not say.
  std::optional<base::Duration> timeout;
};

/// What the engine says to an upstream.
struct UpstreamRequestMeta
{
  base::Duration remaining{ 0 };
  /// The server that is meant; any other refuses the request.
  std::string targetId;
};

/// What an upstream says in an answer.
struct ResponseMeta
{
  std::string requestId;
  /// The server's signature of this answer; empty when there is none.
  std::string signature;
  bool notExecuted = false;
  std::optional<dispatch::LoadReport> load;
};

/// What an answer to a query says of its coverage.
struct CoverageMeta
{
  std::vector<std::string> signatures;
  size_t missing = 0;
};

/// Reads and writes the headers that carry the above.
struct WireCodec
{
  RequestMeta (*readRequest)(const http::fields&) = nullptr;
  void (*writeUpstreamRequest)(http::fields&, const UpstreamRequestMeta&) = nullptr;
  ResponseMeta (*readResponse)(const http::fields&) = nullptr;
  void (*writeCoverage)(http::fields&, const CoverageMeta&) = nullptr;
};

/// One object of the store as far as the engine follows it.
struct StoredObject
{
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  /// Whichever kind was followed; both empty when the object is malformed or removed.
  std::optional<directory::Server> server;
  std::optional<directory::Configuration> configuration;
  /// Why the object cannot be used; empty when it can.
  std::string problem;
};

/// A page of a list, or the changes that a watch returned.
struct StorePage
{
  std::vector<StoredObject> objects;
  /// The name to continue a list after; empty when it is complete.
  std::string continueAfter;
  uint64_t revision = 0;
};

/// The kinds of objects that an instance follows.
enum class StoreKind
{
  Configuration,
  Servers
};

/// A call to read the store, as another instance makes it to a mirror.
struct StoreQuery
{
  StoreKind kind = StoreKind::Configuration;
  /// Set for a watch: the revision to watch from, and how long to wait.
  std::optional<uint64_t> watchFrom;
  base::Duration wait{ 0 };
  /// For a list: the name to continue after.
  std::string after;
};

/// Writes the targets of calls to the store and reads its answers. Empty when malformed.
struct StoreCodec
{
  std::string (*listTarget)(StoreKind, const std::string& aAfter) = nullptr;
  std::string (*watchTarget)(StoreKind, uint64_t aRevision, base::Duration aWait) = nullptr;
  std::optional<StorePage> (*readList)(StoreKind, const std::string& aBody) = nullptr;
  std::optional<StorePage> (*readChanges)(StoreKind, const std::string& aBody) = nullptr;
  /// All instances' entries, possibly seconds old.
  std::string (*instancesTarget)() = nullptr;
  /// One instance's entry; without a name the place to create one.
  std::string (*instanceTarget)(const std::string& aName) = nullptr;
  /// An entry that differs from the one with another beat.
  std::string (*writeInstance)(const directory::InstanceEntry&, uint64_t aBeat) = nullptr;
  /// A watch's answer that says that nothing changed since a revision.
  std::string (*writeNoChanges)(uint64_t aRevision) = nullptr;
  std::optional<StoreQuery> (*readQuery)(const std::string& aTarget) = nullptr;
  std::optional<std::vector<directory::InstanceEntry>> (*readInstances)(const std::string& aBody) =
    nullptr;
};

} // namespace sapphirewind::engine
