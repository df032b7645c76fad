/// @file The platform's records: instances, upstream servers, and the indexes with their snapshots.
#pragma once

#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// An instance of this system.
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

/// The group that serves a shard of a snapshot.
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

/// The index of a service: the snapshots that can be queried, in any order.
struct ServiceIndex
{
  std::string service;
  std::vector<Snapshot> snapshots;

  auto operator<=>(const ServiceIndex&) const = default;
};

/// All records of the platform. Immutable in use: updates replace the whole value.
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
