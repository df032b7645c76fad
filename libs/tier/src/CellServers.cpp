#include <tier/Cell.h>

#include <algorithm>
#include <cmath>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

/// The share of a server's connections that one set of owners may use. Below one half, so that two
/// sets of owners fit within the server's limit at the same time.
constexpr double kOwnerConnectionShare = 0.45;
/// The share of a server's connections for a standby or for an instance of another region.
constexpr double kRestrictedConnectionShare = 0.05;
constexpr base::Duration kLeavingCheckInterval = std::chrono::milliseconds(50);
constexpr base::Duration kHealthTimeout = std::chrono::milliseconds(250);
constexpr base::Duration kUpstreamIdleTimeout = std::chrono::seconds(4);

size_t
ToCountAtLeastOne(double aNumber)
{
  return std::max<size_t>(1, static_cast<size_t>(aNumber));
}

std::shared_ptr<net::ConnectionPool>
MakePool(const net::Endpoint& aEndpoint, size_t aMaxIdleConnections)
{
  return std::make_shared<net::ConnectionPool>(
    aEndpoint,
    net::PoolOptions{ .maxIdleTime = kUpstreamIdleTimeout,
                      .maxIdleConnections = aMaxIdleConnections });
}

} // namespace

size_t
MaxInFlightFor(const model::ServerRecord& aServer,
               const CellRole& aRole,
               bool aSameRegion,
               const config::Experiment& aExperiment)
{
  double connections = static_cast<double>(aServer.connectionLimit);
  double sharers = static_cast<double>(std::max<size_t>(1, aRole.sharers));
  if (!aSameRegion || !aRole.owner) {
    return std::min(aServer.slots, ToCountAtLeastOne(connections * kRestrictedConnectionShare));
  }
  size_t limitByConnections = ToCountAtLeastOne(connections * kOwnerConnectionShare / sharers);
  // With direct dispatch, instances do not coordinate their use of slots, so only the connection
  // limit applies.
  if (aExperiment.dispatch == config::DispatchMode::Direct) {
    return limitByConnections;
  }
  size_t limitBySlots = ToCountAtLeastOne(std::ceil(static_cast<double>(aServer.slots) / sharers));
  return std::min(limitBySlots, limitByConnections);
}

void
Cell::ApplyServers(const std::vector<model::ServerRecord>& aServers)
{
  base::Instant now = base::Now();
  std::vector<routing::Replica> next;
  bool initialList = this->replicas.empty();
  for (const model::ServerRecord& record : aServers) {
    net::Endpoint endpoint;
    if (!net::ParseEndpoint(record.address, endpoint)) {
      continue;
    }
    bool sameRegion = record.region == this->context.region;
    size_t maxInFlight = MaxInFlightFor(record, this->role, sameRegion, this->context.experiment);
    ServerState& state = this->servers[record.name];
    if (!state.pool || state.endpoint != endpoint) {
      state.pool = MakePool(endpoint, maxInFlight);
      state.endpoint = endpoint;
    }
    state.record = record;
    routing::Replica* known = this->FindReplica(record.name);
    routing::Replica replica = known ? *known : routing::Replica{ .name = record.name };
    replica.local = sameRegion;
    replica.maxInFlight = maxInFlight;
    if (!known) {
      replica.limit = static_cast<double>(maxInFlight);
      // A server that joins a running group starts cold (slow start); servers of the initial list
      // do not.
      if (!initialList) {
        routing::BeginSlowStart(replica, now);
      }
    }
    replica.leaving = record.leaving || this->context.leaving.IsLeaving(record.name, now);
    next.push_back(std::move(replica));
  }
  // A server that is no longer listed is kept as leaving until its requests have ended.
  for (const routing::Replica& replica : this->replicas) {
    bool listed = std::any_of(next.begin(), next.end(), [&](const routing::Replica& aEntry) {
      return aEntry.name == replica.name;
    });
    if (!listed && replica.inFlight > 0) {
      next.push_back(replica);
      next.back().leaving = true;
    }
  }
  this->replicas = std::move(next);
}

void
Cell::Update(CellRole aRole, const std::vector<model::ServerRecord>& aServers)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->role = aRole;
  this->ApplyServers(aServers);
  this->StartWorkers();
  this->changed.notify_all();
}

void
Cell::RefreshLeaving(base::Instant aNow)
{
  if (aNow - this->leavingCheckedAt < kLeavingCheckInterval) {
    return;
  }
  this->leavingCheckedAt = aNow;
  for (routing::Replica& replica : this->replicas) {
    auto state = this->servers.find(replica.name);
    bool listedLeaving = state == this->servers.end() || state->second.record.leaving;
    replica.leaving = listedLeaving || this->context.leaving.IsLeaving(replica.name, aNow);
  }
}

bool
Cell::HasSnapshot(const std::string& aSnapshot)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return std::any_of(
    this->replicas.begin(), this->replicas.end(), [&](const routing::Replica& aReplica) {
      auto state = this->servers.find(aReplica.name);
      bool has = state != this->servers.end() && state->second.snapshots.count(aSnapshot);
      return has && !aReplica.leaving;
    });
}

void
Cell::PollHealth()
{
  std::vector<std::pair<std::string, std::shared_ptr<net::ConnectionPool>>> targets;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const routing::Replica& replica : this->replicas) {
      targets.emplace_back(replica.name, this->servers.at(replica.name).pool);
    }
  }
  for (const auto& [name, pool] : targets) {
    std::optional<HealthReport> report = FetchHealth(*pool, kHealthTimeout);
    base::Instant now = base::Now();
    if (!report) {
      continue;
    }
    if (report->draining && this->context.leaving.MarkLeaving(name, kLeavingTtl, now)) {
      telemetry::Log(telemetry::Event::ServerLeaving,
                     { { "server", name }, { "heard", "health" } });
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[name].snapshots.clear();
    this->servers[name].snapshots.insert(report->snapshots.begin(), report->snapshots.end());
    routing::Replica* replica = this->FindReplica(name);
    if (replica && report->load) {
      routing::OnLoadReport(*replica, *report->load, now);
    }
  }
}

} // namespace sapphirewind::tier
