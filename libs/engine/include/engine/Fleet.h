/// @file All upstream servers by service, with what was learnt of routes and the budgets of
/// services.
#pragma once

#include <directory/RouteTable.h>
#include <dispatch/ConnectionShare.h>
#include <dispatch/Split.h>
#include <engine/UpstreamServer.h>
#include <map>
#include <routing/Hedge.h>
#include <string>
#include <unordered_map>

namespace sapphirewind::engine {

class Fleet
{
public:
  struct Options
  {
    Loop& loop;
    const WireCodec& codec;
    std::string zone;
    /// Regions by zone.
    std::map<std::string, std::string> regions;
    /// The share of requests that may be sent to a second server, as the platform states it for
    /// all instances together.
    double extraShare = 0.2;
    /// Second sends that are allowed in a window beyond that share, for all instances together.
    double extraMinimum = 0.0;
  };

  using Servers = std::vector<std::shared_ptr<UpstreamServer>>;

  explicit Fleet(Options aOptions);

  /// Takes in which servers exist. Servers that left keep what is under way and get nothing new.
  void Update(const directory::ServerTable& aTable,
              const directory::RouteTable* aRoutes,
              base::Instant aNow);

  /// Tells how many instances share connections and budgets, by region.
  void SetInstances(const std::map<std::string, size_t>& aByRegion);

  /// Changes what second sends are allowed.
  void SetExtra(double aShare, double aMinimum);

  const Servers& ServersOf(const std::string& aService) const;

  std::shared_ptr<dispatch::ServiceTimeEstimate> WorkOf(const std::string& aRoute);

  /// What second sends to a service have left.
  routing::AttemptBudget& BudgetOf(const std::string& aService);

  dispatch::SplitState& SplitOf(const std::string& aRoute);

  void CloseExpired(base::Instant aNow);

  /// The source of the table of servers answered.
  void NoteHeard(base::Instant aNow) { this->heardAt = aNow; }
  base::Instant HeardAt() const { return this->heardAt; }

  /// Counts of servers by state and the service whose budget of second sends is the lowest.
  struct Summary
  {
    size_t ready = 0;
    size_t draining = 0;
    size_t ejected = 0;
    /// From 0 to 1.
    double lowestBudget = 1.0;
    std::string lowestBudgetService;
  };
  Summary Summarise(base::Instant aNow) const;

  size_t Size() const { return this->byId.size(); }

private:
  std::shared_ptr<UpstreamServer> Create(const directory::Server& aServer);
  dispatch::ConnectionShare ShareOf(const directory::Server& aServer,
                                    unsigned aLimit,
                                    base::Instant aNow) const;
  const std::string& RegionOf(const std::string& aZone) const;
  base::Duration AssumedRoundTrip(const std::string& aZone) const;

  Options options;
  size_t instances;
  base::Instant startedAt;
  base::Instant heardAt;
  std::map<std::string, size_t> instancesByRegion;
  std::map<std::string, std::shared_ptr<UpstreamServer>> byId;
  std::unordered_map<std::string, Servers> byService;
  std::unordered_map<std::string, std::shared_ptr<dispatch::ServiceTimeEstimate>> work;
  std::unordered_map<std::string, routing::AttemptBudget> budgets;
  std::unordered_map<std::string, dispatch::SplitState> splits;
};

} // namespace sapphirewind::engine
