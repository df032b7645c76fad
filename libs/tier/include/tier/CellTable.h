/// @file The cells of an instance, in a map with lock striping.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <tier/Cell.h>
#include <tier/ServingState.h>
#include <vector>

namespace sapphirewind::tier {

/// Thread-safe.
class CellTable
{
public:
  CellTable(CellContext& aContext, ServingStateHolder& aState, std::string aSelf);

  /// Runs a query on the given groups. Calls back once, with the answers of all groups, no later
  /// than about the deadline.
  void Scatter(const model::ScatterRequest& aRequest,
               base::Instant aDeadline,
               std::function<void(model::ScatterResponse)> aDone);

  /// Runs a booking whose key has been claimed. Calls back once.
  void Book(const model::BookingTask& aTask,
            base::Instant aDeadline,
            std::function<void(model::BookingResult)> aDone);

  /// Returns those of the given groups that have no usable server with the snapshot.
  std::vector<std::string> GroupsWithoutSnapshot(const std::string& aService,
                                                 const std::string& aSnapshot,
                                                 const std::vector<std::string>& aGroups);

  /// Blocks until a canary request has passed at a group. Returns false if a server was lost while
  /// running it, if the request has already finished or does not arrive, or if the deadline passes.
  bool WaitForCanary(const std::string& aService,
                     const std::string& aGroup,
                     const std::string& aRequestId,
                     base::Instant aDeadline);

  /// Opens cells for owned groups, updates roles and server lists, and closes cells that are idle
  /// and not owned.
  void Apply(const ServingState& aState, base::Instant aNow);

  /// Polls the health of the servers of all cells.
  void PollHealth();

  std::vector<CellStatus> Status() const;

private:
  struct Key
  {
    std::string service;
    std::string group;

    auto operator<=>(const Key&) const = default;
  };
  struct Stripe
  {
    mutable std::mutex mutex;
    std::map<Key, std::shared_ptr<Cell>> cells;
  };
  static constexpr size_t kStripes = 16;

  Stripe& StripeOf(const Key& aKey);
  std::shared_ptr<Cell> FindOrCreate(const ServingState& aState, const Key& aKey);
  std::vector<std::shared_ptr<Cell>> All() const;

  CellContext& context;
  ServingStateHolder& servingState;
  const std::string self;
  std::array<Stripe, kStripes> stripes;
};

/// Returns the role of an instance for a group.
CellRole
RoleFor(const ServiceState& aService,
        const std::string& aGroup,
        const std::string& aSelf,
        const config::Experiment& aExperiment,
        size_t aServingInstances);

} // namespace sapphirewind::tier
