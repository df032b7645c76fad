#include <tier/ServingStateBuilder.h>

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
ApplyConfiguration(const ObjectCache& aObjects, const ServingState& aPrevious, ServingState& aState)
{
  aState.configuration = aPrevious.configuration;
  aState.generation = aPrevious.generation;
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
  aState.configuration = std::move(*parsed);
  aState.generation = object->version;
  telemetry::Log(telemetry::Event::ConfigurationInForce,
                 { { "generation", object->version }, { "author", value->author } });
}

void
ApplyServers(const ObjectCache& aObjects, ServingState& aState)
{
  for (const platform::VersionedValue& object : aObjects.ListWithPrefix(platform::kServersPrefix)) {
    for (const Json::Value& entry : object.value["servers"]) {
      std::optional<model::ServerRecord> server = model::ServerFromJson(entry);
      if (!server) {
        ReportMalformed(platform::kServersPrefix);
        continue;
      }
      auto service = aState.services.find(server->service);
      if (service != aState.services.end()) {
        service->second.serversByGroup[server->group].push_back(*server);
      }
    }
  }
}

void
ApplyIndexes(const ObjectCache& aObjects, const ServingState& aPrevious, ServingState& aState)
{
  for (const platform::VersionedValue& object : aObjects.ListWithPrefix(platform::kIndexPrefix)) {
    std::optional<model::ServiceIndex> index = model::IndexFromJson(object.value);
    if (!index) {
      ReportMalformed(platform::kIndexPrefix);
      continue;
    }
    aState.services[index->service].index = *index;
  }
  for (const auto& [name, service] : aPrevious.services) {
    if (!aState.services.count(name)) {
      aState.services[name].index = service.index;
    }
  }
}

void
AssignGroups(ServiceState& aService,
             const std::vector<std::string>& aServing,
             size_t aForcedSharers)
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

ServingStatePointer
BuildServingState(const ObjectCache& aObjects,
                  const membership::View& aView,
                  const ServingState& aPrevious,
                  size_t aForcedSharers)
{
  auto servingState = std::make_shared<ServingState>();
  ApplyConfiguration(aObjects, aPrevious, *servingState);
  ApplyIndexes(aObjects, aPrevious, *servingState);
  ApplyServers(aObjects, *servingState);
  servingState->listedInstances = ListedInstances(aObjects);
  servingState->servingInstances = membership::ServingInstances(aView, aView.self.region);
  servingState->instanceAddresses[aView.self.name] = aView.self.address;
  for (const auto& [name, known] : aView.others) {
    servingState->instanceAddresses[name] = known.member.address;
  }
  for (auto& [name, service] : servingState->services) {
    AssignGroups(service, servingState->servingInstances, aForcedSharers);
  }
  return servingState;
}

} // namespace sapphirewind::tier
