/// @file The data and service times of the fake upstreams. Both are pure functions of their
/// arguments, so that a checker can compute every correct answer and an oracle every service time.
#pragma once

#include <base/Time.h>
#include <model/Catalog.h>
#include <model/Search.h>
#include <string>
#include <vector>

namespace sapphirewind::fakes {

/// The number of hits that each shard returns for any query.
constexpr size_t kHitsPerShard = 3;

/// A shard's hits for a query in a snapshot, unordered.
std::vector<model::Hit>
ShardHits(const std::string& aQuery, const std::string& aSnapshot, const std::string& aShard);

/// The correct result page for a query over the given shards of a snapshot.
std::vector<model::Hit>
ExpectedPage(const std::string& aQuery,
             const std::string& aSnapshot,
             const std::vector<std::string>& aShards,
             size_t aOffset,
             size_t aLimit);

/// A lognormal distribution of service times.
struct ServiceTime
{
  double meanMs = 10.0;
  double sigma = 0.6;
  uint64_t seed = 1;
};

/// The time that a server takes to process its part of a request.
base::Duration
DrawServiceTime(const ServiceTime& aTime, const std::string& aRequest, const std::string& aServer);

/// The layout of a service.
struct ServicePlan
{
  std::string name;
  size_t groups = 1;
  size_t replicas = 3;
  size_t slots = 2;
  size_t connectionLimit = 30;
  size_t shardsPerGroup = 2;
  /// Regions to which the replicas of a group are assigned round-robin.
  std::vector<std::string> regions = { "r1" };
};

std::string
ServerName(const std::string& aService, size_t aGroup, size_t aReplica);

std::string
GroupName(size_t aGroup);

/// Builds a snapshot of a service with its shards assigned to groups.
model::Snapshot
MakeSnapshot(const ServicePlan& aPlan, int64_t aSerial);

} // namespace sapphirewind::fakes
