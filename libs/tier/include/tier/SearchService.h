/// @file Handles a caller's search: admission, snapshot, canary, scatter-gather, coverage.
#pragma once

#include <map>
#include <memory>
#include <model/Search.h>
#include <mutex>
#include <routing/SnapshotChoice.h>
#include <string>
#include <telemetry/ClassMetrics.h>
#include <tier/AdmissionController.h>
#include <tier/Scatter.h>
#include <tier/ServingState.h>
#include <tier/SharedState.h>

namespace sapphirewind::tier {

/// Tracks which snapshots of each service are ready on the servers. Thread-safe.
class SnapshotTracker
{
public:
  /// The snapshot to run a query on; empty when the index lists none.
  std::optional<model::Snapshot> Pick(const model::ServiceIndex& aIndex, base::Instant aNow);
  std::vector<std::string> ListUnconfirmed(const model::ServiceIndex& aIndex);
  void RecordReady(const std::string& aService, const std::string& aSnapshot, base::Instant aNow);
  void RecordMissing(const std::string& aService, const std::string& aSnapshot, base::Instant aNow);
  void EraseUnlisted(const model::ServiceIndex& aIndex);

private:
  std::mutex mutex;
  std::map<std::string, routing::SnapshotReadiness> readiness;
};

/// Dependencies of SearchService. The references outlive it.
struct SearchContext
{
  ServingStateHolder& servingState;
  AdmissionControllers& admissionControllers;
  SnapshotTracker& snapshots;
  SharedQuarantine& quarantine;
  ScatterContext& scatter;
  telemetry::ClassMetrics& metrics;
};

/// Thread-safe; blocks the calling thread.
class SearchService
{
public:
  explicit SearchService(SearchContext aContext);

  /// aTimeLeft is the time until the caller's deadline, if any. The class's answerWithin is the
  /// upper bound.
  model::SearchResponse Search(const model::SearchRequest& aRequest,
                               std::optional<base::Duration> aTimeLeft);

  /// Queries owners for groups whose servers lack a listed snapshot, and records the snapshots that
  /// all groups have. Runs in the background.
  void ConfirmSnapshots();

private:
  struct RunningRequest;
  model::SearchResponse RunAdmitted(RunningRequest& aRunning);
  ScatterOutcome RunOnSnapshot(RunningRequest& aRunning, const model::Snapshot& aSnapshot);
  bool IsReadyEverywhere(const ServingState& aState,
                         const ServiceState& aService,
                         const model::Snapshot& aSnapshot);
  void Record(const RunningRequest& aRunning, const model::SearchResponse& aAnswer);

  SearchContext context;
  AvoidedPeers avoidedPeers;
};

/// The groups of a snapshot with their shards, one task per group.
std::vector<model::GroupTask>
TasksOf(const model::Snapshot& aSnapshot);

/// Assembles the caller's answer from the groups' answers.
model::SearchResponse
Assemble(const model::SearchRequest& aRequest,
         const model::Snapshot& aSnapshot,
         const ScatterOutcome& aOutcome,
         double aMinCoverage);

} // namespace sapphirewind::tier
