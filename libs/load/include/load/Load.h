/// @file An open-loop load: requests start by the clock, whatever became of earlier ones, and
/// latency counts from the scheduled start.
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

/// One kind of request at a rate over a span of the run.
struct Stream
{
  std::string className;
  bool booking = false;
  double startRatePerSecond = 0.0;
  /// The rate reached at the end of the span.
  double endRatePerSecond = 0.0;
  base::Duration from{ 0 };
  base::Duration to{ 0 };
};

/// Parses "CLASS:RATE[..RATE_AT_END][@FROM-TO]" with seconds, "book/" in front for bookings;
/// several are separated by commas. Empty with a sentence in aError when it cannot be read.
std::vector<Stream>
ParseStreams(const std::string& aText, base::Duration aLength, std::string& aError);

/// One request to send.
struct Arrival
{
  base::Duration scheduledAt{ 0 };
  size_t streamIndex = 0;
  uint64_t number = 0;
};

/// The arrivals of Poisson streams, in order of time. The same seed gives the same ones.
std::vector<Arrival>
GenerateArrivals(const std::vector<Stream>& aStreams, uint64_t aSeed);

struct LoadOptions
{
  std::vector<net::Endpoint> targets;
  std::vector<Stream> streams;
  uint64_t seed = 1;
  size_t threads = 256;
  /// Distinct queries; 0 makes each one new.
  size_t distinctQueries = 0;
  size_t limit = 10;
  /// How long the balancer goes on sending to an instance that is not ready.
  base::Duration balancerLag{ 0 };
  base::Duration timeout = std::chrono::seconds(40);
  /// How often a booking that did not run for certain is sent again, with the same key.
  size_t maxRetries = 0;
  base::Duration retryDelay = std::chrono::milliseconds(150);
  /// Keeps bodies, for checks.
  bool keepBodies = false;
  /// A prefix of request ids and keys, so that runs do not meet.
  std::string idPrefix = "q";
};

/// What became of one request.
struct Sample
{
  std::string className;
  std::string requestId;
  std::string query;
  std::string idempotencyKey;
  bool booking = false;
  base::Duration scheduledAt{ 0 };
  base::Duration latency{ 0 };
  int status = 0; ///< 0 when no answer came.
  model::Outcome outcome = model::Outcome::Unknown;
  std::string error;
  std::string snapshot;
  size_t answeredShards = 0;
  size_t totalShards = 0;
  bool hasRetryAfter = false;
  std::string body;
};

/// Runs a load to its end. aProgress is called about once a second with the number sent so far.
std::vector<Sample>
RunLoad(const LoadOptions& aOptions,
        const std::function<void(size_t aSent, size_t aOf)>& aProgress);

/// One class's summary.
struct Summary
{
  std::string className;
  size_t sent = 0;
  size_t answered = 0; ///< With a result, whole or part.
  size_t complete = 0; ///< With full coverage.
  size_t inTarget = 0; ///< Whole, and within the class's time.
  size_t refused = 0;  ///< Answered `not_run`.
  size_t refusedWithRetryAfter = 0;
  size_t outcomeUnknown = 0;
  size_t unanswered = 0; ///< No answer.
  double p50Ms = 0.0;
  double p95Ms = 0.0;
  double p99Ms = 0.0;
  double p999Ms = 0.0;
  double refusedP99Ms = 0.0;
  double coverage = 0.0;
};

/// The value below which a share of the values lies; 0 for none.
double
Percentile(std::vector<double> aValues, double aShare);

/// Summarises the samples of a class that were scheduled in a span. Latencies are of answered ones.
Summary
Summarise(const std::vector<Sample>& aSamples,
          const std::string& aClass,
          base::Duration aTarget,
          base::Duration aFrom,
          base::Duration aTo);

} // namespace sapphirewind::load
