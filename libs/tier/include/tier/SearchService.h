/// @file Answers a caller's search: admission, snapshot, canary, scatter, coverage.
#pragma once

#include <map>
#include <memory>
#include <model/Search.h>
#include <mutex>
#include <routing/SnapshotChoice.h>
#include <string>
#include <telemetry/ClassMetrics.h>
#include <tier/Gate.h>
#include <tier/Scatter.h>
#include <tier/ServingState.h>
#include <tier/SharedState.h>

namespace sapphirewind::tier {

/// What is known of each service's snapshots. Thread-safe.
class SnapshotTracker
{
public:
  /// The snapshot to pin; empty when the index has none.
  std::optional<model::Snapshot> Pick(const model::ServiceIndex& aIndex, base::Instant aNow);
  std::vector<std::string> ListUnconfirmed(const model::ServiceIndex& aIndex);
  void RecordReady(const std::string& aService, const std::string& aSnapshot, base::Instant aNow);
  void RecordMissing(const std::string& aService, const std::string& aSnapshot, base::Instant aNow);
  void EraseUnlisted(const model::ServiceIndex& aIndex);

private:
  std::mutex mutex;
  std::map<std::string, routing::SnapshotReadiness> readiness;
};

/// What the service needs. The references outlive it.
struct SearchContext
{
  ServingStateHolder& servingState;
  Gates& admissionControllers;
  SnapshotTracker& snapshots;
  SharedQuarantine& quarantine;
  ScatterContext& scatter;
  telemetry::ClassMetrics& metrics;
};

/// Thread-safe; blocks the caller's thread.
class SearchService
{
public:
  explicit SearchService(SearchContext aContext);

  /// aDeadline is the caller's own, if any; the class's target bounds it.
  model::SearchAnswer Search(const model::SearchRequest& aRequest,
                             std::optional<base::Duration> aTimeLeft);

  /// Asks owners which snapshots their servers have. Runs in the background.
  void ConfirmSnapshots();

private:
  struct RunningRequest;
  model::SearchAnswer RunAdmitted(RunningRequest& aRunning);
  ScatterOutcome RunOnSnapshot(RunningRequest& aRunning, const model::Snapshot& aSnapshot);
  bool IsReadyEverywhere(const ServingState& aState,
                         const ServiceState& aService,
                         const model::Snapshot& aSnapshot);
  void Record(const RunningRequest& aRunning, const model::SearchAnswer& aAnswer);

  SearchContext context;
  AvoidedPeers avoided;
};

/// The groups of a snapshot with their shards.
std::vector<model::GroupTask>
TasksOf(const model::Snapshot& aSnapshot);

/// Puts a query's parts together for the caller. Pure.
model::SearchAnswer
Assemble(const model::SearchRequest& aRequest,
         const model::Snapshot& aSnapshot,
         const ScatterOutcome& aOutcome,
         double aLeastCoverage);

} // namespace sapphirewind::tier
