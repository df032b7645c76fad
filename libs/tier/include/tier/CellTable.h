/// @file The cells of an instance, in shards, each under its own lock.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <tier/Cell.h>
#include <tier/World.h>
#include <vector>

namespace sapphirewind::tier {

/// Thread-safe.
class CellTable
{
public:
  CellTable(CellContext& aContext, WorldHolder& aWorld, std::string aSelf);

  /// Runs one query's groups and calls back once with all their ends, at the latest about the
  /// deadline.
  void Scatter(const model::ScatterRequest& aRequest,
               base::Instant aDeadline,
               std::function<void(model::ScatterResponse)> aDone);

  /// Runs a claimed booking; calls back once.
  void Book(const model::BookingTask& aTask,
            base::Instant aDeadline,
            std::function<void(model::BookingResult)> aDone);

  /// Groups of a service that have no server with a snapshot, of those given.
  std::vector<std::string> LackingGroups(const std::string& aService,
                                         const std::string& aSnapshot,
                                         const std::vector<std::string>& aGroups);

  /// Waits until a request's first try has survived at a group; false when a server was lost under
  /// it or the deadline came first.
  bool WaitSurvival(const std::string& aService,
                    const std::string& aGroup,
                    const std::string& aRequestId,
                    base::Instant aDeadline);

  /// Opens cells for groups now owned, changes roles, closes cells that are idle and not owned.
  void Apply(const World& aWorld, base::Instant aNow);

  /// Asks the servers of all cells for their health.
  void PollHealth();

  std::vector<CellStatus> Status() const;

private:
  struct Key
  {
    std::string service;
    std::string group;

    auto operator<=>(const Key&) const = default;
  };
  struct Shard
  {
    mutable std::mutex mutex;
    std::map<Key, std::shared_ptr<Cell>> cells;
  };
  static constexpr size_t kShards = 16;

  Shard& ShardOf(const Key& aKey);
  std::shared_ptr<Cell> Open(const World& aWorld, const Key& aKey);
  std::vector<std::shared_ptr<Cell>> All() const;

  CellContext& context;
  WorldHolder& world;
  const std::string self;
  std::array<Shard, kShards> shards;
};

/// The role that an instance has for a group.
CellRole
RoleFor(const ServiceWorld& aService,
        const std::string& aGroup,
        const std::string& aSelf,
        const config::Experiment& aExperiment,
        size_t aServingInstances);

} // namespace sapphirewind::tier
