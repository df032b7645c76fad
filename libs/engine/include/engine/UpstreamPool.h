/// @file All upstream servers by service, with the service time estimates of routes and the
/// extra-attempt budgets of services.
#pragma once

#include <directory/RouteTable.h>
#include <dispatch/AttemptBudget.h>
#include <dispatch/ConnectionShare.h>
#include <dispatch/Split.h>
#include <engine/UpstreamServer.h>
#include <map>
#include <string>
#include <unordered_map>

namespace sapphirewind::engine {

class UpstreamPool
{
public:
  struct Options
  {
    Loop& loop;
    const WireCodec& codec;
    /// The name and availability zone of this instance.
    std::string instance;
    std::string zone;
    /// Regions by availability zone.
    std::map<std::string, std::string> regions;
    /// Retries and hedges allowed, as a share of requests. The platform sets it for all instances
    /// together.
    double extraShare = 0.2;
    /// Retries and hedges allowed per window in addition to that share, for all instances together.
    double extraMinimum = 0.0;
    /// The window in which the platform counts them.
    base::Duration extraWindow = std::chrono::seconds(10);
    /// How long a server that says that it leaves may still be sent requests.
    base::Duration drain{ 0 };
  };

  using Servers = std::vector<std::shared_ptr<UpstreamServer>>;

  explicit UpstreamPool(Options aOptions);

  /// Applies the server table. Removed servers finish requests in flight and get no new ones.
  void Update(const directory::ServerTable& aTable,
              const directory::RouteTable* aRoutes,
              base::Instant aNow);

  /// Sets the instances, in the order of their names, that share connections, request rates and
  /// budgets. Returns whether they changed; the next Update applies it.
  bool SetInstances(const std::vector<directory::InstanceEntry>& aLive);

  /// Changes the limits of retries and hedges.
  void SetExtraAttemptLimits(double aShare, double aMinimum);

  /// Changes how long servers that say from now on that they leave may still be sent requests.
  void SetDrain(base::Duration aDrain) { this->serverStatements->servingTime = aDrain; }

  const Servers& ServersOf(const std::string& aService) const;

  std::shared_ptr<dispatch::ServiceTimeEstimate> ServiceTimeOf(const std::string& aRoute);

  /// The budget for retries and hedges of a service.
  dispatch::AttemptBudget& BudgetOf(const std::string& aService);

  /// This instance's part of the extra attempts allowed for each service.
  dispatch::AttemptLimits ExtraAttemptLimits() const;

  dispatch::SplitState& SplitOf(const std::string& aRoute);

  /// Closes idle connections that expired and forgets servers that left.
  void RunMaintenance(base::Instant aNow);

  /// Records that the source of the server table answered.
  void RecordSourceAnswer(base::Instant aNow) { this->lastSourceAnswer = aNow; }
  base::Instant LastSourceAnswer() const { return this->lastSourceAnswer; }

  /// Server counts by state, and the service with the emptiest extra-attempt budget.
  struct Summary
  {
    size_t ready = 0;
    size_t draining = 0;
    /// Servers that said in an answer that they leave, of those that are not draining.
    size_t leaving = 0;
    size_t ejected = 0;
    /// Of those ready or ejected, servers that limit their request rate.
    size_t limited = 0;
    /// Remaining part of the budget, from 0 to 1.
    double lowestBudget = 1.0;
    std::string lowestBudgetService;
  };
  Summary Summarise(base::Instant aNow) const;

  size_t Size() const { return this->byId.size(); }

private:
  std::shared_ptr<UpstreamServer> Create(const directory::Server& aServer);
  /// Records which starts of leaving servers the table names.
  void RecordListed(const directory::ServerTable& aTable, base::Instant aNow);
  void SetShares(UpstreamServer& aServer,
                 const directory::Server& aDescription,
                 unsigned aConnectionLimit,
                 base::Instant aNow);
  /// This instance's part of the request rate of a server in a region.
  dispatch::InstanceArc PermitArcFor(const std::string& aServerRegion);
  const std::string& RegionOf(const std::string& aZone) const;
  base::Duration AssumedRoundTrip(const std::string& aZone) const;

  Options options;
  size_t instances;
  base::Instant startedAt;
  base::Instant lastSourceAnswer;
  std::map<std::string, size_t> instancesByRegion;
  std::vector<directory::InstanceEntry> live;
  /// This instance's part by the region of the server, of those that were asked for.
  std::map<std::string, dispatch::InstanceArc> arcs;
  std::map<std::string, std::shared_ptr<UpstreamServer>> byId;
  std::shared_ptr<dispatch::ServerStatements> serverStatements =
    std::make_shared<dispatch::ServerStatements>();
  std::unordered_map<std::string, Servers> byService;
  std::unordered_map<std::string, std::shared_ptr<dispatch::ServiceTimeEstimate>> serviceTimes;
  std::unordered_map<std::string, dispatch::AttemptBudget> budgets;
  std::unordered_map<std::string, dispatch::SplitState> splits;
  std::shared_ptr<uint64_t> bufferedBytes = std::make_shared<uint64_t>(0);
};

} // namespace sapphirewind::engine
