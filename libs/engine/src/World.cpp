#include "World.h"

#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

void
LogMalformed(const StoredObject& aObject)
{
  telemetry::Log(telemetry::Event::ObjectMalformed,
                 { { "object", aObject.name },
                   { "revision", std::to_string(aObject.revision) },
                   { "why", aObject.problem } });
}

} // namespace

World::World(Options aOptions)
  : options(std::move(aOptions))
{
}

void
World::Start()
{
  this->configurationFollower = this->MakeFollower(StoreKind::Configuration);
  this->serverFollower = this->MakeFollower(StoreKind::Servers);
  this->registry = std::make_shared<Registry>(
    Registry::Options{ .loop = this->options.context.loop,
                       .codec = this->options.codec,
                       .connection = this->ConnectionOptions(),
                       .instance = this->options.instance,
                       .random = this->options.context.random,
                       .onCount = [this](size_t aCount) { this->OnInstancesCounted(aCount); } });
  this->registry->Start();
  this->configurationFollower->Start();
  this->serverFollower->Start();
}

std::shared_ptr<StoreFollower>
World::MakeFollower(StoreKind aKind)
{
  bool followsServers = aKind == StoreKind::Servers;
  return std::make_shared<StoreFollower>(StoreFollower::Options{
    .loop = this->options.context.loop,
    .codec = this->options.codec,
    .kind = aKind,
    .connection = this->ConnectionOptions(),
    .random = this->options.context.random,
    .watchWait = this->options.watchWait,
    .onList =
      [this, followsServers](const std::vector<StoredObject>& aObjects, uint64_t aRevision) {
        if (followsServers) {
          this->OnServerList(aObjects, aRevision);
        } else {
          this->OnConfigurations(aObjects);
        }
      },
    .onChanges =
      [this, followsServers](const std::vector<StoredObject>& aObjects) {
        if (followsServers) {
          this->OnServerChanges(aObjects);
        } else {
          this->OnConfigurations(aObjects);
        }
      },
    .onLost =
      [this, followsServers](const char* aCause) {
        telemetry::Log(
          telemetry::Event::StoreLost,
          { { "follows", followsServers ? "servers" : "configuration" }, { "why", aCause } });
        if (followsServers) {
          directory::OnStoreLost(this->servers);
        }
      },
    .onReturned =
      [this, followsServers] {
        telemetry::Log(telemetry::Event::StoreBack,
                       { { "follows", followsServers ? "servers" : "configuration" } });
        if (followsServers) {
          directory::OnStoreReturned(this->servers, base::Now());
        }
      } });
}

void
World::OnConfigurations(const std::vector<StoredObject>& aObjects)
{
  for (const StoredObject& object : aObjects) {
    if (!object.problem.empty()) {
      LogMalformed(object);
      continue;
    }
    bool isNewer = object.configuration && (!this->routes || object.configuration->version >
                                                               this->routes->Current().version);
    if (!isNewer) {
      continue;
    }
    this->routes = std::make_shared<const directory::RouteTable>(*object.configuration);
    telemetry::Log(telemetry::Event::ConfigurationInForce,
                   { { "version", std::to_string(this->routes->Current().version) },
                     { "revision", std::to_string(object.revision) },
                     { "routes", std::to_string(this->routes->Current().routes.size()) } });
  }
  this->UpdateFleet();
}

void
World::OnServerList(const std::vector<StoredObject>& aObjects, uint64_t aRevision)
{
  std::vector<directory::ListedServer> listed;
  for (const StoredObject& object : aObjects) {
    if (object.server) {
      listed.push_back({ .server = *object.server, .revision = object.revision });
    } else {
      LogMalformed(object);
    }
  }
  directory::ReplaceAll(this->servers, listed, aRevision, base::Now());
  this->UpdateFleet();
}

void
World::OnServerChanges(const std::vector<StoredObject>& aObjects)
{
  base::Instant now = base::Now();
  for (const StoredObject& object : aObjects) {
    if (object.removed) {
      directory::Remove(this->servers, object.name, object.revision, now);
    } else if (object.server) {
      directory::Upsert(this->servers, *object.server, object.revision);
    } else {
      LogMalformed(object);
      directory::Remove(this->servers, object.name, object.revision, now);
    }
    bool leaves = object.removed || (object.server && object.server->draining);
    if (leaves) {
      telemetry::Log(telemetry::Event::ServerLeaving,
                     { { "server", object.name },
                       { "revision", std::to_string(object.revision) },
                       { "why", object.removed ? "its entry was removed" : "it drains" } });
    }
  }
  this->UpdateFleet();
}

void
World::KeepHouse(base::Instant aNow)
{
  if (directory::ExpireLapsed(this->servers, aNow)) {
    this->UpdateFleet();
  }
}

bool
World::IsUsable() const
{
  return this->routes != nullptr && !this->servers.entries.empty();
}

StoreConnection::Options
World::ConnectionOptions() const
{
  return StoreConnection::Options{ .loop = this->options.context.loop,
                                   .endpoint = *ParseEndpoint(this->options.storeAddress),
                                   .host = this->options.storeAddress,
                                   .metrics = this->options.context.metrics };
}

void
World::OnInstancesCounted(size_t aInstances)
{
  if (aInstances == this->instances) {
    return;
  }
  this->instances = aInstances;
  telemetry::Log(telemetry::Event::InstancesCounted,
                 { { "instances", std::to_string(aInstances) } });
  this->options.context.fleet.SetInstances(aInstances);
  this->UpdateFleet();
}

void
World::UpdateFleet()
{
  this->options.context.fleet.Update(this->servers, this->routes.get());
  if (!this->wasUsable && this->IsUsable()) {
    this->wasUsable = true;
    this->options.onUsable();
  }
}

} // namespace sapphirewind::engine
