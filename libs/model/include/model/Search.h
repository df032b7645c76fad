/// @file Search results, their coverage, and the merge of partial results.
#pragma once

#include <model/Work.h>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// One result. Equal scores are ordered by id, so that every merge gives the same page.
struct Hit
{
  std::string id;
  std::string shard;
  double score = 0.0;
  std::string text;

  bool operator==(const Hit&) const = default;
};

/// Whether a hit goes before another: higher score first, then lower id.
bool
RanksBefore(const Hit& aLeft, const Hit& aRight);

/// The best aCount hits of both lists, each already in order. A hit id is kept once.
std::vector<Hit>
MergeTop(std::vector<Hit> aLeft, std::vector<Hit> aRight, size_t aCount);

/// Puts hits of any order in order, keeps the best aCount, each id once.
std::vector<Hit>
SortTop(std::vector<Hit> aHits, size_t aCount);

/// Which part of the pinned snapshot's shards an answer covers.
struct Coverage
{
  size_t answered = 0;
  size_t total = 0;
  std::vector<std::string> missing;

  bool operator==(const Coverage&) const = default;

  /// The answered share; 0 for a snapshot without shards.
  double Share() const;
};

/// The coverage of a set of answered shards over a snapshot's shards.
Coverage
ComputeCoverage(const std::vector<std::string>& aSnapshotShards,
                const std::vector<std::string>& aAnsweredShards);

/// A caller's search. Limits are checked where it is read.
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

/// What a caller gets back.
struct SearchResponse
{
  std::string requestId;
  Outcome outcome = Outcome::NotRun;
  std::string snapshot;
  std::vector<Hit> hits;
  Coverage coverage;
  std::optional<Errc> error;
  std::string detail;
  /// Seconds after which a refused request may be sent again; 0 says nothing.
  int retryAfterSeconds = 0;
};

} // namespace sapphirewind::model
