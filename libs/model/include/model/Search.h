/// @file Search results, their coverage, and merging of partial results.
#pragma once

#include <model/Work.h>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// One search result. Equal scores are ordered by id, so that the merge order does not change the
/// page.
struct Hit
{
  std::string id;
  std::string shard;
  double score = 0.0;
  std::string text;

  bool operator==(const Hit&) const = default;
};

/// Whether a hit is ranked before another: by descending score, then by ascending id.
bool
RanksBefore(const Hit& aLeft, const Hit& aRight);

/// Merges two sorted lists and returns the best aCount hits without duplicate ids.
std::vector<Hit>
MergeTop(std::vector<Hit> aLeft, std::vector<Hit> aRight, size_t aCount);

/// Sorts hits and returns the best aCount without duplicate ids.
std::vector<Hit>
SortTop(std::vector<Hit> aHits, size_t aCount);

/// How many shards of the request's snapshot a response covers, and which are missing.
struct Coverage
{
  size_t answered = 0;
  size_t total = 0;
  std::vector<std::string> missing;

  bool operator==(const Coverage&) const = default;

  /// The fraction of shards that answered; 0 for a snapshot without shards.
  double Share() const;
};

/// Computes the coverage of a snapshot by the shards that answered.
Coverage
ComputeCoverage(const std::vector<std::string>& aSnapshotShards,
                const std::vector<std::string>& aAnsweredShards);

/// A caller's search request. The limits below are enforced when it is parsed.
struct SearchRequest
{
  std::string requestId;
  std::string className;
  std::string query;
  size_t limit = 10;
  size_t offset = 0;

  bool operator==(const SearchRequest&) const = default;
};

constexpr size_t kMaxQueryBytes = 4096;
constexpr size_t kMaxLimit = 100;
constexpr size_t kMaxOffset = 1000;
constexpr size_t kMaxNameBytes = 128;

/// The response to a caller.
struct SearchResponse
{
  std::string requestId;
  Outcome outcome = Outcome::NotRun;
  std::string snapshot;
  std::vector<Hit> hits;
  Coverage coverage;
  std::optional<Errc> error;
  std::string detail;
  /// The delay in seconds before a rejected request may be retried; 0 if unspecified.
  int retryAfterSeconds = 0;
};

} // namespace sapphirewind::model
