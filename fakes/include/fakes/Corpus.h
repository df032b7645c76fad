/// @file What the stand-in upstreams hold and how long they take: pure functions of a seed, so that
/// a checker knows every right answer and an oracle every service time.
#pragma once

#include <base/Time.h>
#include <model/Catalog.h>
#include <model/Search.h>
#include <string>
#include <vector>

namespace sapphirewind::fakes {

/// Hits that each shard has for any query.
constexpr size_t kHitsPerShard = 3;

/// A shard's hits for a query in a snapshot, in no order.
std::vector<model::Hit>
ShardHits(const std::string& aQuery, const std::string& aSnapshot, const std::string& aShard);

/// The right page for a query over some shards of a snapshot.
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

/// The time that a server takes for a request's part.
base::Duration
DrawServiceTime(const ServiceTime& aTime, const std::string& aRequest, const std::string& aServer);

/// A whole service to set up.
struct ServicePlan
{
  std::string name;
  size_t groups = 1;
  size_t replicas = 3;
  size_t slots = 2;
  size_t connectionLimit = 30;
  size_t shardsPerGroup = 2;
  /// Regions that replicas are spread over, in turn; one region keeps them all.
  std::vector<std::string> regions = { "r1" };
};

std::string
ServerName(const std::string& aService, size_t aGroup, size_t aReplica);

std::string
GroupName(size_t aGroup);

/// A snapshot of a service with its shards in their groups.
model::Snapshot
MakeSnapshot(const ServicePlan& aPlan, int64_t aSerial);

} // namespace sapphirewind::fakes
