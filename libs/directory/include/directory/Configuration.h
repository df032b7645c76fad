/// @file What the operator states, as immutable values: routes, services and limits on callers.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::directory {

/// Whether one request may be run by more than one upstream.
enum class Idempotency
{
  Idempotent,
  AtMostOnce
};

/// One destination of a split route.
struct WeightedService
{
  std::string service;
  double weight = 1.0;

  auto operator<=>(const WeightedService&) const = default;
};

/// How requests of one host and path prefix are served.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  Idempotency idempotency = Idempotency::Idempotent;
  /// The longest that a request may be kept waiting.
  base::Duration timeout{ 0 };
  /// The latency objective: an answer within it counts in full.
  base::Duration objective{ 0 };
  /// 0 is the most urgent.
  int rank = 0;
  /// Upstreams that one request may be sent to, for each shard of a query.
  unsigned maxAttempts = 1;
  /// The shards of a query; empty for a route that one upstream answers.
  std::vector<std::string> shards;
  /// The destinations of a plain route; one unless it is split.
  std::vector<WeightedService> destinations;
  /// Records in the answer to a query.
  size_t topRecords = 0;
  /// The share of the shards below which a query has no answer.
  double minCoverage = 1.0;

  bool IsQuery() const { return !this->shards.empty(); }
  bool operator==(const Route&) const = default;
};

/// A group of upstreams that serve the same.
struct Service
{
  std::string name;
  std::string healthPath;
  /// Connections that one upstream accepts from all instances together.
  unsigned maxConnections = 1;

  auto operator<=>(const Service&) const = default;
};

/// Bounds on what a caller may send and on how long it may take.
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
