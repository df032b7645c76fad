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
#include <tier/Shared.h>
#include <tier/World.h>

namespace sapphirewind::tier {

/// What is known of each service's snapshots. Thread-safe.
class SnapshotBook
{
public:
  /// The snapshot to pin; empty when the index has none.
  std::optional<model::Snapshot> Pick(const model::ServiceIndex& aIndex, base::Instant aNow);
  std::vector<std::string> ToProve(const model::ServiceIndex& aIndex);
  void NoteReady(const std::string& aService, const std::string& aSnapshot, base::Instant aNow);
  void NoteMissing(const std::string& aService, const std::string& aSnapshot, base::Instant aNow);
  void Forget(const model::ServiceIndex& aIndex);

private:
  std::mutex mutex;
  std::map<std::string, routing::SnapshotReadiness> knowledge;
};

/// What the service needs. The references outlive it.
struct SearchContext
{
  WorldHolder& world;
  Gates& gates;
  SnapshotBook& snapshots;
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
  model::SearchResponse Search(const model::SearchRequest& aRequest,
                               std::optional<base::Duration> aTimeLeft);

  /// Asks owners which snapshots their servers have. Runs in the background.
  void ProveSnapshots();

private:
  struct Run;
  model::SearchResponse Admitted(Run& aRun);
  ScatterOutcome RunPinned(Run& aRun, const model::Snapshot& aSnapshot);
  bool IsReadyEverywhere(const World& aWorld,
                         const ServiceWorld& aService,
                         const model::Snapshot& aSnapshot);
  void Record(const Run& aRun, const model::SearchResponse& aAnswer);

  SearchContext context;
  AvoidedPeers avoided;
};

/// The groups of a snapshot with their shards.
std::vector<model::GroupTask>
TasksOf(const model::Snapshot& aSnapshot);

/// Puts a query's parts together for the caller. Pure.
model::SearchResponse
Assemble(const model::SearchRequest& aRequest,
         const model::Snapshot& aSnapshot,
         const ScatterOutcome& aOutcome,
         double aLeastCoverage);

} // namespace sapphirewind::tier
