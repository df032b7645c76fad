#include <tier/WorldBuilder.h>

#include <algorithm>
#include <model/FieldReader.h>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

void
ReportMalformed(const std::string& aName)
{
  telemetry::Log(telemetry::Event::ObjectMalformed, { { "object", aName } });
}

void
TakeConfiguration(const ObjectCache& aObjects, const World& aPrevious, World& aWorld)
{
  aWorld.configuration = aPrevious.configuration;
  aWorld.generation = aPrevious.generation;
  std::optional<platform::VersionedValue> object = aObjects.Get(platform::kConfigurationObject);
  if (!object || object->version <= aPrevious.generation) {
    return;
  }
  std::optional<ConfigurationObject> value = ConfigurationObjectFromJson(object->value);
  document::Problems problems;
  std::optional<config::Configuration> parsed =
    value ? config::ParseConfiguration(value->text, problems) : std::nullopt;
  if (!parsed) {
    telemetry::Log(telemetry::Event::ConfigurationRejected,
                   { { "generation", object->version },
                     { "problem", problems.empty() ? "malformed" : Describe(problems.front()) } });
    return;
  }
  aWorld.configuration = std::move(*parsed);
  aWorld.generation = object->version;
  telemetry::Log(telemetry::Event::ConfigurationInForce,
                 { { "generation", object->version }, { "author", value->author } });
}

void
TakeServers(const ObjectCache& aObjects, World& aWorld)
{
  for (const platform::VersionedValue& object : aObjects.Under(platform::kServersPrefix)) {
    for (const Json::Value& entry : object.value["servers"]) {
      std::optional<model::ServerRecord> server = model::ServerFromJson(entry);
      if (!server) {
        ReportMalformed(platform::kServersPrefix);
        continue;
      }
      auto service = aWorld.services.find(server->service);
      if (service != aWorld.services.end()) {
        service->second.serversByGroup[server->group].push_back(*server);
      }
    }
  }
}

void
TakeIndexes(const ObjectCache& aObjects, const World& aPrevious, World& aWorld)
{
  for (const platform::VersionedValue& object : aObjects.Under(platform::kIndexPrefix)) {
    std::optional<model::ServiceIndex> index = model::IndexFromJson(object.value);
    if (!index) {
      ReportMalformed(platform::kIndexPrefix);
      continue;
    }
    aWorld.services[index->service].index = *index;
  }
  for (const auto& [name, service] : aPrevious.services) {
    if (!aWorld.services.count(name)) {
      aWorld.services[name].index = service.index;
    }
  }
}

void
Assign(ServiceWorld& aService, const std::vector<std::string>& aServing, size_t aForcedSharers)
{
  std::vector<std::string> groups;
  size_t connectionLimit = 0;
  for (const auto& [group, servers] : aService.serversByGroup) {
    groups.push_back(group);
    for (const model::ServerRecord& server : servers) {
      bool lowest = connectionLimit == 0 || server.connectionLimit < connectionLimit;
      connectionLimit = lowest ? server.connectionLimit : connectionLimit;
    }
  }
  if (!aServing.empty()) {
    aService.assignment = routing::Assign(aServing, groups, connectionLimit, aForcedSharers);
  }
}

} // namespace

std::optional<ConfigurationObject>
ConfigurationObjectFromJson(const Json::Value& aValue)
{
  model::FieldReader fields(aValue);
  ConfigurationObject object{ .text = fields.String("text"),
                              .nonce = fields.String("nonce"),
                              .author = fields.String("author") };
  return fields.Ok() ? std::optional(object) : std::nullopt;
}

std::vector<model::InstanceRecord>
ListedInstances(const ObjectCache& aObjects)
{
  std::optional<platform::VersionedValue> object = aObjects.Get(platform::kInstancesObject);
  std::vector<model::InstanceRecord> instances;
  if (!object || !object->value.isObject()) {
    return instances;
  }
  for (const Json::Value& entry : object->value["instances"]) {
    std::optional<model::InstanceRecord> record = model::InstanceFromJson(entry);
    if (record) {
      instances.push_back(*record);
    } else {
      ReportMalformed(platform::kInstancesObject);
    }
  }
  return instances;
}

WorldPointer
BuildWorld(const ObjectCache& aObjects,
           const membership::View& aView,
           const World& aPrevious,
           size_t aForcedSharers)
{
  auto world = std::make_shared<World>();
  TakeConfiguration(aObjects, aPrevious, *world);
  TakeIndexes(aObjects, aPrevious, *world);
  TakeServers(aObjects, *world);
  world->listedInstances = ListedInstances(aObjects);
  world->serving = membership::ServingInstances(aView, aView.self.region);
  world->addresses[aView.self.name] = aView.self.address;
  for (const auto& [name, known] : aView.others) {
    world->addresses[name] = known.member.address;
  }
  for (auto& [name, service] : world->services) {
    Assign(service, world->serving, aForcedSharers);
  }
  return world;
}

} // namespace sapphirewind::tier
