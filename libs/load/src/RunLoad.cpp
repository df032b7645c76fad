#include <load/Load.h>

#include <base/Random.h>
#include <document/Document.h>
#include <memory>
#include <mutex>
#include <net/Connection.h>
#include <thread>

namespace sapphirewind::load {

namespace {

constexpr base::Duration kReadinessPollInterval = std::chrono::milliseconds(200);
constexpr base::Duration kReadinessTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kProgressInterval = std::chrono::seconds(1);
constexpr size_t kMaxIdleConnections = 512;

/// Round-robin load balancer over the instances. Skips instances that have not been ready for
/// longer than LoadOptions::balancerLag.
class Balancer
{
public:
  explicit Balancer(const LoadOptions& aOptions)
    : options(aOptions)
  {
    for (const net::Endpoint& target : aOptions.targets) {
      this->targets.push_back(std::make_unique<Target>(target));
    }
    this->readinessPoller = std::thread([this] { this->PollReadiness(); });
  }

  ~Balancer()
  {
    this->stopRequested = true;
    this->readinessPoller.join();
  }

  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// Sends a request once. Tries the next instance only if no byte of the request was sent.
  base::Result<net::Response> Send(const net::Request& aRequest)
  {
    base::Result<net::Response> response =
      base::Failure{ .code = net::Errc::ConnectFailed, .detail = "no target instances" };
    for (size_t attempt = 0; attempt < this->targets.size(); ++attempt) {
      Target& target = this->NextTarget();
      response = target.pool.Exchange(aRequest, this->options.timeout);
      if (response || !net::FailedBeforeSending(response.Error().code)) {
        return response;
      }
    }
    return response;
  }

private:
  struct Target
  {
    explicit Target(const net::Endpoint& aEndpoint)
      : pool(aEndpoint, net::PoolOptions{ .maxIdleConnections = kMaxIdleConnections })
    {
    }
    net::ConnectionPool pool;
    std::atomic<bool> inRotation{ true };
    base::Instant lastReadyTime = base::Now();
  };

  Target& NextTarget()
  {
    for (size_t step = 0; step < this->targets.size(); ++step) {
      Target& target = *this->targets[this->nextTarget.fetch_add(1) % this->targets.size()];
      if (target.inRotation) {
        return target;
      }
    }
    return *this->targets[this->nextTarget.fetch_add(1) % this->targets.size()];
  }

  void PollReadiness()
  {
    while (!this->stopRequested) {
      for (const std::unique_ptr<Target>& target : this->targets) {
        base::Result<net::Response> response =
          target->pool.Exchange(net::Request{ .path = "/ready" }, kReadinessTimeout);
        base::Instant now = base::Now();
        bool ready = response && response->status == 200;
        target->lastReadyTime = ready ? now : target->lastReadyTime;
        target->inRotation = now - target->lastReadyTime <= this->options.balancerLag || ready;
      }
      std::this_thread::sleep_for(kReadinessPollInterval);
    }
  }

  const LoadOptions& options;
  std::vector<std::unique_ptr<Target>> targets;
  std::atomic<size_t> nextTarget{ 0 };
  std::atomic<bool> stopRequested{ false };
  std::thread readinessPoller;
};

std::string
QueryText(const LoadOptions& aOptions, uint64_t aNumber)
{
  if (aOptions.distinctQueries == 0) {
    return aOptions.idPrefix + " wiring " + std::to_string(aNumber);
  }
  uint64_t queryNumber =
    base::Hash64(std::to_string(aNumber), aOptions.seed) % aOptions.distinctQueries;
  return "wiring " + std::to_string(queryNumber);
}

net::Request
MakeRequest(const LoadOptions& aOptions, const Stream& aStream, const Sample& aSample)
{
  Json::Value body;
  body["class"] = aStream.className;
  net::Request request{ .method = "POST", .path = aStream.booking ? "/v1/book" : "/v1/search" };
  request.headers.push_back(net::Header{ .name = "X-Request-Id", .value = aSample.requestId });
  if (aStream.booking) {
    body["subject"] = aSample.query;
    body["booking"]["slot"] = aSample.idempotencyKey;
    request.headers.push_back(
      net::Header{ .name = "Idempotency-Key", .value = aSample.idempotencyKey });
  } else {
    body["query"] = aSample.query;
    body["limit"] = static_cast<Json::UInt64>(aOptions.limit);
  }
  request.body = document::Serialize(body);
  return request;
}

Sample
MakeSample(const LoadOptions& aOptions, const Stream& aStream, const Arrival& aArrival)
{
  std::string number = std::to_string(aArrival.number);
  Sample sample;
  sample.className = aStream.className;
  sample.booking = aStream.booking;
  sample.scheduledAt = aArrival.scheduledAt;
  sample.requestId = aOptions.idPrefix + "-" + number;
  sample.query = QueryText(aOptions, aArrival.number);
  sample.idempotencyKey = aStream.booking ? aOptions.idPrefix + "-key-" + number : "";
  return sample;
}

/// A retry of a request, with a new request id and the same idempotency key.
Sample
MakeRetrySample(const Sample& aFirst, size_t aAttempt)
{
  Sample sample;
  sample.className = aFirst.className;
  sample.booking = aFirst.booking;
  sample.requestId = aFirst.requestId + "-again-" + std::to_string(aAttempt);
  sample.query = aFirst.query;
  sample.idempotencyKey = aFirst.idempotencyKey;
  return sample;
}

void
ReadResponse(const base::Result<net::Response>& aResponse, bool aKeepBody, Sample& aSample)
{
  if (!aResponse) {
    aSample.error = aResponse.Error().code.message();
    bool notSent = net::FailedBeforeSending(aResponse.Error().code);
    aSample.outcome = notSent ? model::Outcome::NotRun : model::Outcome::Unknown;
    return;
  }
  aSample.status = aResponse->status;
  aSample.hasRetryAfter = !aResponse->HeaderValue("Retry-After").empty();
  std::optional<Json::Value> body = document::ParseMessage(aResponse->body);
  if (!body || !body->isObject()) {
    return;
  }
  if (aKeepBody) {
    aSample.body = aResponse->body;
  }
  aSample.outcome =
    model::OutcomeFromText((*body)["outcome"].asString()).value_or(model::Outcome::Unknown);
  aSample.snapshot = (*body)["snapshot"].asString();
  if ((*body)["error"].isObject()) {
    aSample.error = (*body)["error"]["code"].asString();
  }
  if ((*body)["coverage"].isObject()) {
    aSample.answeredShards = (*body)["coverage"]["answered"].asUInt64();
    aSample.totalShards = (*body)["coverage"]["total"].asUInt64();
  }
}

} // namespace

std::vector<Sample>
RunLoad(const LoadOptions& aOptions,
        const std::function<void(size_t aSent, size_t aTotal)>& aProgress)
{
  std::vector<Arrival> arrivals = GenerateArrivals(aOptions.streams, aOptions.seed);
  std::vector<Sample> samples(arrivals.size());
  std::atomic<size_t> nextArrival{ 0 };
  Balancer balancer(aOptions);
  base::Instant start = base::Now();
  std::mutex retrySamplesMutex;
  std::vector<Sample> retrySamples;
  auto send = [&](const Stream& aStream, Sample& aSample, base::Instant aScheduled) {
    base::Result<net::Response> response = balancer.Send(MakeRequest(aOptions, aStream, aSample));
    aSample.latency = base::Now() - aScheduled;
    ReadResponse(response, aOptions.keepBodies, aSample);
  };
  auto retryBooking = [&](const Stream& aStream, const Sample& aFirst) {
    Sample last = aFirst;
    for (size_t attempt = 1; attempt <= aOptions.maxRetries && last.outcome != model::Outcome::Ran;
         ++attempt) {
      std::this_thread::sleep_for(aOptions.retryDelay);
      Sample retry = MakeRetrySample(aFirst, attempt);
      retry.scheduledAt = base::Now() - start;
      send(aStream, retry, base::Now());
      last = retry;
      std::lock_guard<std::mutex> lock(retrySamplesMutex);
      retrySamples.push_back(std::move(retry));
    }
  };
  auto runWorker = [&] {
    for (size_t index = nextArrival.fetch_add(1); index < arrivals.size();
         index = nextArrival.fetch_add(1)) {
      const Arrival& arrival = arrivals[index];
      const Stream& stream = aOptions.streams[arrival.streamIndex];
      Sample& sample = samples[index];
      sample = MakeSample(aOptions, stream, arrival);
      std::this_thread::sleep_until(start + arrival.scheduledAt);
      send(stream, sample, start + arrival.scheduledAt);
      if (stream.booking) {
        retryBooking(stream, sample);
      }
    }
  };
  std::atomic<bool> finished{ false };
  std::thread progressThread([&] {
    base::Instant nextReportTime = start + kProgressInterval;
    while (!finished) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      if (base::Now() >= nextReportTime) {
        aProgress(std::min(nextArrival.load(), arrivals.size()), arrivals.size());
        nextReportTime += kProgressInterval;
      }
    }
  });
  std::vector<std::thread> threads;
  for (size_t index = 0; index < aOptions.threads; ++index) {
    threads.emplace_back(runWorker);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  finished = true;
  progressThread.join();
  samples.insert(samples.end(), retrySamples.begin(), retrySamples.end());
  return samples;
}

} // namespace sapphirewind::load
