/// @file The operator's configuration as immutable values: routes, services and limits for callers.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::directory {

/// Whether more than one upstream may execute the same request.
enum class Idempotency
{
  Idempotent,
  AtMostOnce
};

/// One destination of a route with weighted traffic splitting.
struct WeightedService
{
  std::string service;
  double weight = 1.0;

  auto operator<=>(const WeightedService&) const = default;
};

/// How requests for one host and path prefix are handled.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  Idempotency idempotency = Idempotency::Idempotent;
  /// Maximum time until a request is answered.
  base::Duration timeout{ 0 };
  /// Latency objective (SLO) for an answer.
  base::Duration objective{ 0 };
  /// Priority; 0 is the most urgent.
  int rank = 0;
  /// Maximum number of upstreams that a request is sent to, for each shard of a query.
  unsigned maxAttempts = 1;
  /// The services that hold the shards of a query; empty for a route that one upstream answers.
  std::vector<std::string> shards;
  /// The destinations of a route without shards; several if traffic is split.
  std::vector<WeightedService> destinations;
  /// Maximum number of records in the answer to a query.
  size_t topRecords = 0;
  /// Minimum fraction of the shards that an answer to a query must cover.
  double minCoverage = 1.0;

  bool IsQuery() const { return !this->shards.empty(); }
  bool operator==(const Route&) const = default;
};

/// A group of interchangeable upstreams.
struct Service
{
  std::string name;
  std::string healthPath;
  /// Maximum number of connections that one upstream accepts from all instances together.
  unsigned maxConnections = 1;

  auto operator<=>(const Service&) const = default;
};

/// Limits on the size of a caller's requests and on the time it may take to send them.
struct CallerLimits
{
  size_t maxHeaderBytes = 16 * 1024;
  size_t maxBodyBytes = 256 * 1024;
  base::Duration headerTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);

  auto operator<=>(const CallerLimits&) const = default;
};

/// One version of the operator's configuration.
struct Configuration
{
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  CallerLimits limits;

  bool operator==(const Configuration&) const = default;
};

} // namespace sapphirewind::directory
