/// @file What the platform tells: instances, upstream servers, and the index with its snapshots.
#pragma once

#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// An instance of this system as the platform lists it.
struct InstanceRecord
{
  std::string name;
  std::string address; ///< "ip:port"
  std::string region;
  std::string zone;
  bool leaving = false;

  auto operator<=>(const InstanceRecord&) const = default;
};

/// An upstream server.
struct ServerRecord
{
  std::string name;
  std::string service;
  std::string group;
  std::string address; ///< "ip:port"
  std::string region;
  std::string zone;
  size_t connectionLimit = 30;
  size_t slots = 2;
  bool leaving = false;

  auto operator<=>(const ServerRecord&) const = default;
};

/// Where one shard lives in one snapshot.
struct ShardLocation
{
  std::string shard;
  std::string group;

  auto operator<=>(const ShardLocation&) const = default;
};

/// One version of a service's index.
struct Snapshot
{
  std::string id;
  int64_t serial = 0;
  std::vector<ShardLocation> shards;

  auto operator<=>(const Snapshot&) const = default;
};

/// A service's index: its snapshots that may be asked for, in any order.
struct ServiceIndex
{
  std::string service;
  std::vector<Snapshot> snapshots;

  auto operator<=>(const ServiceIndex&) const = default;
};

/// Everything the platform lists, as one value that is replaced whole.
struct Catalog
{
  std::vector<InstanceRecord> instances;
  std::vector<ServerRecord> servers;
  std::vector<ServiceIndex> indexes;

  bool operator==(const Catalog&) const = default;

  const ServiceIndex* FindIndex(const std::string& aService) const;
};

Json::Value
ToJson(const InstanceRecord& aRecord);
Json::Value
ToJson(const ServerRecord& aRecord);
Json::Value
ToJson(const ServiceIndex& aIndex);

std::optional<InstanceRecord>
InstanceFromJson(const Json::Value& aValue);
std::optional<ServerRecord>
ServerFromJson(const Json::Value& aValue);
std::optional<ServiceIndex>
IndexFromJson(const Json::Value& aValue);

} // namespace sapphirewind::model
