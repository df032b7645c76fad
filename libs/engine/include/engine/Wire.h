/// @file The contents of messages that the engine uses beyond HTTP itself. Header, key and path
/// names are defined only by the codec that the platform supplies.
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

/// Metadata of a caller's request.
struct RequestMeta
{
  std::string id;
  /// How long the caller waits for the response; empty when not stated.
  std::optional<base::Duration> timeout;
};

/// Metadata of a request to an upstream.
struct UpstreamRequestMeta
{
  /// Time until the deadline.
  base::Duration remaining{ 0 };
  /// The server that the request is for; any other server refuses it.
  std::string targetId;
};

/// Metadata of a response from an upstream.
struct ResponseMeta
{
  std::string requestId;
  /// The server's signature of the response; empty when there is none.
  std::string signature;
  bool notExecuted = false;
  std::optional<dispatch::LoadReport> load;
  /// The requests a second that the server accepts from all instances together, while it is in
  /// need.
  std::optional<double> requestRate;
  /// The server says that it leaves.
  bool leaving = false;
  /// How long the server wants nothing, if it turned the request away.
  std::optional<base::Duration> retryAfter;
  /// Headers whose value cannot be read, as "name: value"; they change nothing.
  std::vector<std::string> malformed;
};

/// The coverage of a response to a query.
struct CoverageMeta
{
  std::vector<std::string> signatures;
  size_t missing = 0;
};

/// Reads and writes the headers for the metadata above.
struct WireCodec
{
  RequestMeta (*readRequest)(const http::fields&) = nullptr;
  void (*writeUpstreamRequest)(http::fields&, const UpstreamRequestMeta&) = nullptr;
  ResponseMeta (*readResponse)(const http::fields&) = nullptr;
  void (*writeCoverage)(http::fields&, const CoverageMeta&) = nullptr;
};

/// An object in the store, of a kind that the engine watches.
struct StoredObject
{
  std::string name;
  directory::StorePosition position;
  bool removed = false;
  /// Set according to the watched kind; both empty when the object is malformed or removed.
  std::optional<directory::Server> server;
  std::optional<directory::Configuration> configuration;
  /// Why the object is invalid; empty when it is valid.
  std::string problem;
};

/// A page of a list response, or the changes returned by a watch.
struct StorePage
{
  std::vector<StoredObject> objects;
  /// The name after which the next page starts; empty on the last page.
  std::string continueAfter;
  directory::StorePosition position;
  /// The answer that was read, without the changes that were left out; empty if there were none.
  std::string shortened;
};

/// A page of the list of instances.
struct InstancePage
{
  std::vector<directory::InstanceEntry> entries;
  /// The name after which the next page starts; empty on the last page.
  std::string continueAfter;
};

/// How old the pages of a list may be. The store charges a tenth for pages that may be seconds old,
/// each by a different time.
enum class ListAge
{
  MayBeOld,
  Current
};

/// Which changes of an answer are read.
enum class ChangeScope
{
  All,
  /// The newest usable one, and what is not usable after it: those before it do not matter.
  NewestUsable
};

/// The kinds of objects that an instance watches.
enum class StoreKind
{
  Configuration,
  Servers
};

/// A read request for stored objects that another instance sends to a mirror of the store.
struct StoreQuery
{
  StoreKind kind = StoreKind::Configuration;
  /// Set for a watch: the position to watch from, and how long to wait for a change.
  std::optional<directory::StorePosition> watchFrom;
  base::Duration wait{ 0 };
  /// For a list: the name after which the page starts.
  std::string after;
};

/// The era that a message of the store names.
struct NamedEra
{
  /// Empty if it names none.
  std::optional<uint64_t> era;
  /// The header as it came if it can't be read; empty otherwise.
  std::string malformed;
};

/// Encodes request targets for the store and decodes its responses. Decoding returns nothing when
/// the response is malformed. The era that a body is read with is that of its response's header.
struct StoreCodec
{
  /// The era in the header of the store's responses, and of calls and responses between instances.
  NamedEra (*readEra)(const http::fields&) = nullptr;
  void (*writeEra)(http::fields&, uint64_t aEra) = nullptr;
  std::string (*listTarget)(StoreKind, const std::string& aAfter, ListAge) = nullptr;
  std::string (*watchTarget)(StoreKind, uint64_t aRevision, base::Duration aWait) = nullptr;
  std::optional<StorePage> (*readList)(StoreKind,
                                       const std::string& aBody,
                                       uint64_t aEra) = nullptr;
  std::optional<StorePage> (*readChanges)(StoreKind,
                                          ChangeScope,
                                          const std::string& aBody,
                                          uint64_t aEra) = nullptr;
  /// The target of a page of the list of all instances' entries, which may be seconds old.
  std::string (*instancesTarget)(const std::string& aAfter) = nullptr;
  /// The target of one instance's entry; with an empty name, the target to create one.
  std::string (*instanceTarget)(const std::string& aName) = nullptr;
  /// Encodes an instance's entry; each heartbeat number gives a different entry.
  std::string (*writeInstance)(const directory::InstanceEntry&, uint64_t aHeartbeat) = nullptr;
  /// Encodes a watch response that reports no change since a revision.
  std::string (*writeNoChanges)(uint64_t aRevision) = nullptr;
  std::optional<StoreQuery> (*readQuery)(const std::string& aTarget, uint64_t aEra) = nullptr;
  std::optional<InstancePage> (*readInstances)(const std::string& aBody, uint64_t aEra) = nullptr;
};

} // namespace sapphirewind::engine
