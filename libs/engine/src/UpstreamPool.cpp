#include <engine/UpstreamPool.h>

#include <algorithm>
#include <base/Random.h>
#include <dispatch/InstanceShare.h>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// Number of instances assumed to share limits until the store's list is read.
constexpr size_t kAssumedInstances = 9;
/// The part of the configured share of extra attempts that is used; the rest absorbs uneven load
/// between windows.
constexpr double kUsableShare = 0.85;
/// The part of the configured minimum that is divided among the instances.
constexpr double kUsableMinimum = 0.85;
/// Round-trip times assumed until one is measured.
constexpr base::Duration kSameZoneRoundTrip = std::chrono::microseconds(500);
constexpr base::Duration kSameRegionRoundTrip = std::chrono::milliseconds(2);
constexpr base::Duration kOtherRegionRoundTrip = std::chrono::milliseconds(30);

const UpstreamPool::Servers kNoServers;

} // namespace

UpstreamPool::UpstreamPool(Options aOptions)
  : options(std::move(aOptions))
  , instances(kAssumedInstances)
  , startedAt(base::Now())
  , lastSourceAnswer(this->startedAt)
{
  this->SetDrain(this->options.drain);
}

base::Duration
UpstreamPool::AssumedRoundTrip(const std::string& aZone) const
{
  if (aZone == this->options.zone) {
    return kSameZoneRoundTrip;
  }
  bool sameRegion = this->RegionOf(aZone) == this->RegionOf(this->options.zone);
  return sameRegion ? kSameRegionRoundTrip : kOtherRegionRoundTrip;
}

const std::string&
UpstreamPool::RegionOf(const std::string& aZone) const
{
  // A zone that is not in the settings counts as its own region.
  auto region = this->options.regions.find(aZone);
  return region == this->options.regions.end() ? aZone : region->second;
}

void
UpstreamPool::SetShares(UpstreamServer& aServer,
                        const directory::Server& aDescription,
                        unsigned aConnectionLimit,
                        base::Instant aNow)
{
  const std::string& region = this->RegionOf(aDescription.zone);
  auto counted = this->instancesByRegion.find(region);
  // Until the instances are counted, they are assumed to be spread evenly over three regions.
  constexpr size_t kAssumedRegions = 3;
  size_t inRegion =
    counted == this->instancesByRegion.end() ? this->instances / kAssumedRegions : counted->second;
  bool sameRegion = region == this->RegionOf(this->options.zone);
  dispatch::ConnectionShare connections = dispatch::ComputeConnectionShare(
    { .limit = aConnectionLimit,
      .instancesInRegion = inRegion,
      .instances = this->instances,
      .sameRegion = sameRegion,
      .recentlyStarted = aNow - this->startedAt < dispatch::kReducedSharePeriod });
  aServer.SetShare(connections, this->PermitArcFor(region), aNow);
}

dispatch::InstanceArc
UpstreamPool::PermitArcFor(const std::string& aServerRegion)
{
  if (!this->live.empty()) {
    directory::InstanceEntry self{ .name = this->options.instance,
                                   .region = this->RegionOf(this->options.zone) };
    auto [arc, isNew] = this->arcs.try_emplace(aServerRegion);
    if (isNew) {
      arc->second = dispatch::ComputeInstanceArc(this->live, self, aServerRegion);
    }
    return arc->second;
  }
  // Until the instances are listed, each takes a place of its own among as many as are assumed.
  return { .start = base::UnitFromHash(base::Hash64(this->options.instance)),
           .length = 1.0 / static_cast<double>(this->instances) };
}

std::shared_ptr<UpstreamServer>
UpstreamPool::Create(const directory::Server& aServer)
{
  std::optional<Tcp::endpoint> endpoint = ParseEndpoint(aServer.address);
  if (!endpoint) {
    telemetry::Log(telemetry::Event::ObjectMalformed,
                   { { "object", aServer.id }, { "why", "invalid address: " + aServer.address } });
    return nullptr;
  }
  return std::make_shared<UpstreamServer>(UpstreamServer::Options{
    .loop = this->options.loop,
    .codec = this->options.codec,
    .server = aServer,
    .endpoint = *endpoint,
    .assumedRoundTrip = this->AssumedRoundTrip(aServer.zone),
    .isRemote = this->RegionOf(aServer.zone) != this->RegionOf(this->options.zone),
    .bufferedBytes = this->bufferedBytes,
    .serverStatements = this->serverStatements });
}

void
UpstreamPool::Update(const directory::ServerTable& aTable,
                     const directory::RouteTable* aRoutes,
                     base::Instant aNow)
{
  std::map<std::string, std::shared_ptr<UpstreamServer>> next;
  this->byService.clear();
  for (const auto& [id, entry] : aTable.entries) {
    const directory::Service* service =
      aRoutes == nullptr ? nullptr : aRoutes->FindService(entry.server.service);
    unsigned limit = service == nullptr ? 1 : service->maxConnections;
    auto existing = this->byId.find(id);
    bool isSame = existing != this->byId.end() &&
                  existing->second->Description().address == entry.server.address &&
                  existing->second->Description().startedAtMs == entry.server.startedAtMs &&
                  existing->second->Description().service == entry.server.service &&
                  (entry.server.draining || !existing->second->IsDrained());
    std::shared_ptr<UpstreamServer> server = isSame ? existing->second : this->Create(entry.server);
    if (!server) {
      continue;
    }
    if (!isSame) {
      telemetry::LogRoutine(telemetry::Event::ServerTakenIn,
                            { { "server", id },
                              { "service", entry.server.service },
                              { "address", entry.server.address },
                              { "revision", entry.position.revision } });
    }
    this->SetShares(*server, entry.server, limit, aNow);
    if (entry.server.draining) {
      server->Drain();
    }
    next.emplace(id, server);
    this->byService[entry.server.service].push_back(server);
  }
  for (const auto& [id, server] : this->byId) {
    auto keptServer = next.find(id);
    if (keptServer == next.end() || keptServer->second != server) {
      server->Retire();
    }
  }
  this->byId = std::move(next);
  this->RecordListed(aTable, aNow);
}

void
UpstreamPool::RecordListed(const directory::ServerTable& aTable, base::Instant aNow)
{
  if (this->serverStatements->records.empty()) {
    return;
  }
  std::set<directory::ServerStart> listed;
  for (const auto& [id, entry] : aTable.entries) {
    listed.insert({ .id = id, .startedAtMs = entry.server.startedAtMs });
  }
  dispatch::SetListed(*this->serverStatements, listed, aNow);
}

bool
UpstreamPool::SetInstances(const std::vector<directory::InstanceEntry>& aLive)
{
  auto isSame = [](const directory::InstanceEntry& aLeft, const directory::InstanceEntry& aRight) {
    return aLeft.name == aRight.name && aLeft.region == aRight.region;
  };
  if (std::equal(aLive.begin(), aLive.end(), this->live.begin(), this->live.end(), isSame)) {
    return false;
  }
  this->live = aLive;
  this->arcs.clear();
  this->instances = std::max<size_t>(1, aLive.size());
  this->instancesByRegion = directory::CountByRegion(aLive);
  return true;
}

void
UpstreamPool::SetExtraAttemptLimits(double aShare, double aMinimum)
{
  this->options.extraShare = aShare;
  this->options.extraMinimum = aMinimum;
}

const UpstreamPool::Servers&
UpstreamPool::ServersOf(const std::string& aService) const
{
  auto found = this->byService.find(aService);
  return found == this->byService.end() ? kNoServers : found->second;
}

std::shared_ptr<dispatch::ServiceTimeEstimate>
UpstreamPool::ServiceTimeOf(const std::string& aRoute)
{
  std::shared_ptr<dispatch::ServiceTimeEstimate>& estimate = this->serviceTimes[aRoute];
  if (!estimate) {
    estimate = std::make_shared<dispatch::ServiceTimeEstimate>();
  }
  return estimate;
}

dispatch::AttemptBudget&
UpstreamPool::BudgetOf(const std::string& aService)
{
  return this->budgets[aService];
}

dispatch::AttemptLimits
UpstreamPool::ExtraAttemptLimits() const
{
  return { .share = kUsableShare * this->options.extraShare,
           .minimum =
             kUsableMinimum * this->options.extraMinimum / static_cast<double>(this->instances),
           .window = this->options.extraWindow };
}

dispatch::SplitState&
UpstreamPool::SplitOf(const std::string& aRoute)
{
  return this->splits[aRoute];
}

UpstreamPool::Summary
UpstreamPool::Summarise(base::Instant aNow) const
{
  Summary summary;
  for (const auto& [id, server] : this->byId) {
    const dispatch::Upstream& state = server->State();
    summary.limited += !state.draining && state.rateLimit ? 1 : 0;
    if (state.draining) {
      ++summary.draining;
    } else if (state.statement.leaving) {
      ++summary.leaving;
    } else if (dispatch::IsEjected(state, aNow)) {
      ++summary.ejected;
    } else {
      ++summary.ready;
    }
  }
  for (const auto& [service, budget] : this->budgets) {
    double remaining = dispatch::RemainingBudget(budget, this->ExtraAttemptLimits(), aNow);
    if (remaining < summary.lowestBudget) {
      summary.lowestBudget = remaining;
      summary.lowestBudgetService = service;
    }
  }
  return summary;
}

void
UpstreamPool::RunMaintenance(base::Instant aNow)
{
  dispatch::ForgetOutdated(*this->serverStatements, aNow);
  for (const auto& [id, server] : this->byId) {
    server->CloseExpired(aNow);
  }
}

} // namespace sapphirewind::engine
