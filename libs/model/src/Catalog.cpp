#include <model/Catalog.h>

#include <model/FieldReader.h>

namespace sapphirewind::model {

const ServiceIndex*
Catalog::FindIndex(const std::string& aService) const
{
  for (const ServiceIndex& index : this->indexes) {
    if (index.service == aService) {
      return &index;
    }
  }
  return nullptr;
}

Json::Value
ToJson(const InstanceRecord& aRecord)
{
  Json::Value value;
  value["name"] = aRecord.name;
  value["address"] = aRecord.address;
  value["region"] = aRecord.region;
  value["zone"] = aRecord.zone;
  value["leaving"] = aRecord.leaving;
  return value;
}

std::optional<InstanceRecord>
InstanceFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  InstanceRecord record{ .name = fields.String("name"),
                         .address = fields.String("address"),
                         .region = fields.String("region"),
                         .zone = fields.String("zone"),
                         .leaving = fields.Boolean("leaving") };
  return fields.Ok() ? std::optional(record) : std::nullopt;
}

Json::Value
ToJson(const ServerRecord& aRecord)
{
  Json::Value value;
  value["name"] = aRecord.name;
  value["service"] = aRecord.service;
  value["group"] = aRecord.group;
  value["address"] = aRecord.address;
  value["region"] = aRecord.region;
  value["zone"] = aRecord.zone;
  value["connection_limit"] = static_cast<Json::UInt64>(aRecord.connectionLimit);
  value["slots"] = static_cast<Json::UInt64>(aRecord.slots);
  value["leaving"] = aRecord.leaving;
  return value;
}

std::optional<ServerRecord>
ServerFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  ServerRecord record{ .name = fields.String("name"),
                       .service = fields.String("service"),
                       .group = fields.String("group"),
                       .address = fields.String("address"),
                       .region = fields.String("region"),
                       .zone = fields.String("zone"),
                       .connectionLimit = fields.Size("connection_limit"),
                       .slots = fields.Size("slots"),
                       .leaving = fields.Boolean("leaving") };
  return fields.Ok() ? std::optional(record) : std::nullopt;
}

Json::Value
ToJson(const ServiceIndex& aIndex)
{
  Json::Value value;
  value["service"] = aIndex.service;
  value["snapshots"] = Json::Value(Json::arrayValue);
  for (const Snapshot& snapshot : aIndex.snapshots) {
    Json::Value entry;
    entry["id"] = snapshot.id;
    entry["serial"] = static_cast<Json::Int64>(snapshot.serial);
    entry["shards"] = Json::Value(Json::objectValue);
    for (const ShardLocation& place : snapshot.shards) {
      entry["shards"][place.shard] = place.group;
    }
    value["snapshots"].append(entry);
  }
  return value;
}

namespace {

std::optional<Snapshot>
SnapshotFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  Snapshot snapshot{ .id = fields.String("id"), .serial = fields.Integer("serial"), .shards = {} };
  const Json::Value& shards = fields.Object("shards");
  for (const std::string& shard : shards.getMemberNames()) {
    if (!shards[shard].isString()) {
      return std::nullopt;
    }
    snapshot.shards.push_back(ShardLocation{ .shard = shard, .group = shards[shard].asString() });
  }
  return fields.Ok() ? std::optional(snapshot) : std::nullopt;
}

} // namespace

std::optional<ServiceIndex>
IndexFromJson(const Json::Value& aValue)
{
  FieldReader fields(aValue);
  ServiceIndex index{ .service = fields.String("service"), .snapshots = {} };
  for (const Json::Value& entry : fields.List("snapshots")) {
    std::optional<Snapshot> snapshot = SnapshotFromJson(entry);
    if (!snapshot) {
      return std::nullopt;
    }
    index.snapshots.push_back(std::move(*snapshot));
  }
  return fields.Ok() ? std::optional(index) : std::nullopt;
}

} // namespace sapphirewind::model
