#include <engine/Fleet.h>

#include <algorithm>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// Instances that are assumed to share limits until it is known.
constexpr size_t kAssumedInstances = 9;
/// The part of the stated share of second sends that is used; the rest covers uneven windows.
constexpr double kUsedShare = 0.85;
/// The part of the stated minimum that instances hand out among themselves.
constexpr double kUsedMinimum = 0.85;
/// Round trips that are assumed until a connection was timed.
constexpr base::Duration kSameZone = std::chrono::microseconds(500);
constexpr base::Duration kSameRegion = std::chrono::milliseconds(2);
constexpr base::Duration kOtherRegion = std::chrono::milliseconds(30);

const Fleet::Servers kNoServers;

} // namespace

Fleet::Fleet(Options aOptions)
  : options(std::move(aOptions))
  , instances(kAssumedInstances)
  , startedAt(base::Now())
  , heardAt(this->startedAt)
{
}

base::Duration
Fleet::AssumedRoundTrip(const std::string& aZone) const
{
  if (aZone == this->options.zone) {
    return kSameZone;
  }
  bool sameRegion = this->RegionOf(aZone) == this->RegionOf(this->options.zone);
  return sameRegion ? kSameRegion : kOtherRegion;
}

const std::string&
Fleet::RegionOf(const std::string& aZone) const
{
  // A zone that the settings do not name is a region of its own.
  auto region = this->options.regions.find(aZone);
  return region == this->options.regions.end() ? aZone : region->second;
}

dispatch::ConnectionShare
Fleet::ShareOf(const directory::Server& aServer, unsigned aLimit, base::Instant aNow) const
{
  const std::string& region = this->RegionOf(aServer.zone);
  auto inRegion = this->instancesByRegion.find(region);
  // Until instances were counted, they are taken to stand evenly in three regions.
  constexpr size_t kAssumedRegions = 3;
  size_t assumed = this->instances / kAssumedRegions;
  return dispatch::ComputeConnectionShare(
    { .limit = aLimit,
      .instancesInRegion = inRegion == this->instancesByRegion.end() ? assumed : inRegion->second,
      .instances = this->instances,
      .sameRegion = region == this->RegionOf(this->options.zone),
      .recentlyStarted = aNow - this->startedAt < dispatch::kReducedSharePeriod });
}

std::shared_ptr<UpstreamServer>
Fleet::Create(const directory::Server& aServer)
{
  std::optional<Tcp::endpoint> endpoint = ParseEndpoint(aServer.address);
  if (!endpoint) {
    telemetry::Log(telemetry::Event::ObjectMalformed,
                   { { "object", aServer.id }, { "why", "no address: " + aServer.address } });
    return nullptr;
  }
  return std::make_shared<UpstreamServer>(
    UpstreamServer::Options{ .loop = this->options.loop,
                             .codec = this->options.codec,
                             .server = aServer,
                             .endpoint = *endpoint,
                             .assumedRoundTrip = this->AssumedRoundTrip(aServer.zone) });
}

void
Fleet::Update(const directory::ServerTable& aTable,
              const directory::RouteTable* aRoutes,
              base::Instant aNow)
{
  std::map<std::string, std::shared_ptr<UpstreamServer>> next;
  this->byService.clear();
  for (const auto& [id, entry] : aTable.entries) {
    const directory::Service* service =
      aRoutes == nullptr ? nullptr : aRoutes->FindService(entry.server.service);
    unsigned limit = service == nullptr ? 1 : service->maxConnections;
    auto known = this->byId.find(id);
    bool same = known != this->byId.end() &&
                known->second->Description().address == entry.server.address &&
                known->second->Description().startedAtMs == entry.server.startedAtMs &&
                known->second->Description().service == entry.server.service &&
                (entry.server.draining || !known->second->IsDrained());
    std::shared_ptr<UpstreamServer> server = same ? known->second : this->Create(entry.server);
    if (!server) {
      continue;
    }
    if (!same) {
      telemetry::LogRoutine(telemetry::Event::ServerTakenIn,
                            { { "server", id },
                              { "service", entry.server.service },
                              { "address", entry.server.address },
                              { "revision", entry.revision } });
    }
    server->SetShare(this->ShareOf(entry.server, limit, aNow));
    if (entry.server.draining) {
      server->Drain();
    }
    next.emplace(id, server);
    this->byService[entry.server.service].push_back(server);
  }
  for (const auto& [id, server] : this->byId) {
    auto kept = next.find(id);
    if (kept == next.end() || kept->second != server) {
      server->Retire();
    }
  }
  this->byId = std::move(next);
}

void
Fleet::SetInstances(const std::map<std::string, size_t>& aByRegion)
{
  this->instancesByRegion = aByRegion;
  this->instances = 0;
  for (const auto& [region, count] : aByRegion) {
    this->instances += count;
  }
  this->instances = std::max<size_t>(1, this->instances);
}

void
Fleet::SetExtra(double aShare, double aMinimum)
{
  this->options.extraShare = aShare;
  this->options.extraMinimum = aMinimum;
}

const Fleet::Servers&
Fleet::ServersOf(const std::string& aService) const
{
  auto found = this->byService.find(aService);
  return found == this->byService.end() ? kNoServers : found->second;
}

std::shared_ptr<dispatch::ServiceTimeEstimate>
Fleet::WorkOf(const std::string& aRoute)
{
  std::shared_ptr<dispatch::ServiceTimeEstimate>& estimate = this->work[aRoute];
  if (!estimate) {
    estimate = std::make_shared<dispatch::ServiceTimeEstimate>();
  }
  return estimate;
}

routing::AttemptBudget&
Fleet::BudgetOf(const std::string& aService)
{
  auto [budget, isNew] = this->budgets.try_emplace(aService);
  double most = kUsedMinimum * this->options.extraMinimum / static_cast<double>(this->instances);
  budget->second.share = kUsedShare * this->options.extraShare;
  budget->second.most = std::max(1.0, most);
  if (isNew) {
    budget->second.tokens = budget->second.most;
  }
  return budget->second;
}

dispatch::SplitState&
Fleet::SplitOf(const std::string& aRoute)
{
  return this->splits[aRoute];
}

Fleet::Summary
Fleet::Summarise(base::Instant aNow) const
{
  Summary summary;
  for (const auto& [id, server] : this->byId) {
    const dispatch::Upstream& state = server->State();
    if (state.draining) {
      ++summary.draining;
    } else if (dispatch::IsEjected(state, aNow)) {
      ++summary.ejected;
    } else {
      ++summary.ready;
    }
  }
  for (const auto& [service, budget] : this->budgets) {
    double left = budget.tokens / budget.most;
    if (left < summary.lowestBudget) {
      summary.lowestBudget = left;
      summary.lowestBudgetService = service;
    }
  }
  return summary;
}

void
Fleet::CloseExpired(base::Instant aNow)
{
  for (const auto& [id, server] : this->byId) {
    server->CloseExpired(aNow);
  }
}

} // namespace sapphirewind::engine
