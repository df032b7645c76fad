/// @file Open-loop load generator: requests start at scheduled times, independent of the completion
/// of earlier requests, and latency is measured from the scheduled start.
#pragma once

#include <atomic>
#include <base/Time.h>
#include <functional>
#include <model/Work.h>
#include <net/Message.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::load {

/// Requests of one class that arrive at a given rate during an interval of the run.
struct Stream
{
  std::string className;
  bool booking = false;
  double startRatePerSecond = 0.0;
  /// The rate at `to`. The rate changes linearly between `from` and `to`.
  double endRatePerSecond = 0.0;
  base::Duration from{ 0 };
  base::Duration to{ 0 };
};

/// Parses comma-separated streams "[book/]CLASS:RATE[..RATE_AT_END][@FROM-TO]", with rates per
/// second and times in seconds; the prefix "book/" denotes bookings. Without FROM-TO a stream lasts
/// for aLength. On a syntax error returns an empty vector and sets aError.
std::vector<Stream>
ParseStreams(const std::string& aText, base::Duration aLength, std::string& aError);

/// The scheduled start of one request, relative to the start of the run.
struct Arrival
{
  base::Duration scheduledAt{ 0 };
  size_t streamIndex = 0;
  uint64_t number = 0;
};

/// Generates the arrivals of Poisson streams, sorted by time. The result is determined by the seed.
std::vector<Arrival>
GenerateArrivals(const std::vector<Stream>& aStreams, uint64_t aSeed);

struct LoadOptions
{
  std::vector<net::Endpoint> targets;
  std::vector<Stream> streams;
  uint64_t seed = 1;
  /// The maximum number of concurrent requests. Requests beyond it start late, which counts towards
  /// their latency.
  size_t threads = 256;
  /// The number of distinct queries; 0 makes every query unique.
  size_t distinctQueries = 0;
  /// The maximum number of hits per search.
  size_t limit = 10;
  /// For how long an instance that is not ready still receives requests.
  base::Duration balancerLag{ 0 };
  base::Duration timeout = std::chrono::seconds(40);
  /// The maximum number of retries of a booking whose outcome is not `ran`, with the same
  /// idempotency key.
  size_t maxRetries = 0;
  base::Duration retryDelay = std::chrono::milliseconds(150);
  /// Stores response bodies in the samples, for checks of their content.
  bool keepBodies = false;
  /// The prefix of request ids and idempotency keys, which keeps them distinct between runs.
  std::string idPrefix = "q";
};

/// The result of one attempt of a request.
struct Sample
{
  std::string className;
  std::string requestId;
  std::string query;
  std::string idempotencyKey;
  bool booking = false;
  base::Duration scheduledAt{ 0 };
  base::Duration latency{ 0 };
  int status = 0; ///< HTTP status; 0 if no response was received.
  model::Outcome outcome = model::Outcome::Unknown;
  std::string error;
  std::string snapshot;
  size_t answeredShards = 0;
  size_t totalShards = 0;
  bool hasRetryAfter = false;
  std::string body;
};

/// Runs a load to completion and returns the samples of all requests and retries. aProgress is
/// called about once a second with the number of requests taken from the schedule so far, which
/// includes requests that wait for their scheduled start.
std::vector<Sample>
RunLoad(const LoadOptions& aOptions,
        const std::function<void(size_t aSent, size_t aTotal)>& aProgress);

/// The summary of the samples of one class.
struct Summary
{
  std::string className;
  size_t sent = 0;
  size_t answered = 0; ///< With a complete or partial result.
  size_t complete = 0; ///< With full coverage.
  size_t inTarget = 0; ///< Complete, and within the target latency.
  size_t refused = 0;  ///< With the outcome `not_run`.
  size_t refusedWithRetryAfter = 0;
  size_t outcomeUnknown = 0;
  size_t unanswered = 0; ///< No response was received.
  double p50Ms = 0.0;
  double p95Ms = 0.0;
  double p99Ms = 0.0;
  double p999Ms = 0.0;
  double refusedP99Ms = 0.0;
  double coverage = 0.0;
};

/// The quantile of the values at aFraction (0 to 1) by the nearest-rank method; 0 if there are no
/// values.
double
Percentile(std::vector<double> aValues, double aFraction);

/// Summarises the samples of a class that were scheduled from aFrom (inclusive) to aTo (exclusive).
/// The latency percentiles are those of answered requests; refusedP99Ms is that of refused
/// requests.
Summary
Summarise(const std::vector<Sample>& aSamples,
          const std::string& aClass,
          base::Duration aTarget,
          base::Duration aFrom,
          base::Duration aTo);

} // namespace sapphirewind::load
