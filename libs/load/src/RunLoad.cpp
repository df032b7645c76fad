#include <load/Load.h>

#include <base/Random.h>
#include <document/Document.h>
#include <memory>
#include <mutex>
#include <net/Connection.h>
#include <thread>

namespace sapphirewind::load {

namespace {

constexpr base::Duration kReadyPoll = std::chrono::milliseconds(200);
constexpr base::Duration kReadyTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kProgressEvery = std::chrono::seconds(1);
constexpr size_t kIdleConnections = 512;

/// Spreads requests over instances in turn, leaving out those not ready for longer than the lag.
class Balancer
{
public:
  explicit Balancer(const LoadOptions& aOptions)
    : options(aOptions)
  {
    for (const net::Endpoint& target : aOptions.targets) {
      this->targets.push_back(std::make_unique<Target>(target));
    }
    this->poller = std::thread([this] { this->Poll(); });
  }

  ~Balancer()
  {
    this->ending = true;
    this->poller.join();
  }

  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// Sends once; goes on to another instance only while no byte has left.
  base::Result<net::Response> Send(const net::Request& aRequest)
  {
    base::Result<net::Response> answer =
      base::Failure{ .code = net::Errc::ConnectFailed, .detail = "no instance" };
    for (size_t attempt = 0; attempt < this->targets.size(); ++attempt) {
      Target& target = this->Next();
      answer = target.pool.Exchange(aRequest, this->options.timeout);
      if (answer || !net::FailedBeforeSending(answer.Error().code)) {
        return answer;
      }
    }
    return answer;
  }

private:
  struct Target
  {
    explicit Target(const net::Endpoint& aEndpoint)
      : pool(aEndpoint, net::PoolOptions{ .maxIdleConnections = kIdleConnections })
    {
    }
    net::ConnectionPool pool;
    std::atomic<bool> used{ true };
    base::Instant lastReady = base::Now();
  };

  Target& Next()
  {
    for (size_t step = 0; step < this->targets.size(); ++step) {
      Target& target = *this->targets[this->turn.fetch_add(1) % this->targets.size()];
      if (target.used) {
        return target;
      }
    }
    return *this->targets[this->turn.fetch_add(1) % this->targets.size()];
  }

  void Poll()
  {
    while (!this->ending) {
      for (const std::unique_ptr<Target>& target : this->targets) {
        base::Result<net::Response> answer =
          target->pool.Exchange(net::Request{ .path = "/ready" }, kReadyTimeout);
        base::Instant now = base::Now();
        bool ready = answer && answer->status == 200;
        target->lastReady = ready ? now : target->lastReady;
        target->used = now - target->lastReady <= this->options.balancerLag || ready;
      }
      std::this_thread::sleep_for(kReadyPoll);
    }
  }

  const LoadOptions& options;
  std::vector<std::unique_ptr<Target>> targets;
  std::atomic<size_t> turn{ 0 };
  std::atomic<bool> ending{ false };
  std::thread poller;
};

std::string
QueryText(const LoadOptions& aOptions, uint64_t aNumber)
{
  if (aOptions.distinctQueries == 0) {
    return aOptions.idPrefix + " wiring " + std::to_string(aNumber);
  }
  uint64_t which = base::Hash64(std::to_string(aNumber), aOptions.seed) % aOptions.distinctQueries;
  return "wiring " + std::to_string(which);
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
    body["booking"]["slot"] = aSample.key;
    request.headers.push_back(net::Header{ .name = "Idempotency-Key", .value = aSample.key });
  } else {
    body["query"] = aSample.query;
    body["limit"] = static_cast<Json::UInt64>(aOptions.limit);
  }
  request.body = document::Serialize(body);
  return request;
}

Sample
FirstSample(const LoadOptions& aOptions, const Stream& aStream, const Arrival& aArrival)
{
  std::string number = std::to_string(aArrival.number);
  Sample sample;
  sample.className = aStream.className;
  sample.booking = aStream.booking;
  sample.at = aArrival.at;
  sample.requestId = aOptions.idPrefix + "-" + number;
  sample.query = QueryText(aOptions, aArrival.number);
  sample.key = aStream.booking ? aOptions.idPrefix + "-key-" + number : "";
  return sample;
}

/// The same request sent again: another request id, the same key.
Sample
PrepareSample(const Sample& aFirst, size_t aAttempt)
{
  Sample sample;
  sample.className = aFirst.className;
  sample.booking = aFirst.booking;
  sample.requestId = aFirst.requestId + "-again-" + std::to_string(aAttempt);
  sample.query = aFirst.query;
  sample.key = aFirst.key;
  return sample;
}

void
ReadAnswer(const base::Result<net::Response>& aAnswer, bool aKeepBody, Sample& aSample)
{
  if (!aAnswer) {
    aSample.error = aAnswer.Error().code.message();
    bool nothingSent = net::FailedBeforeSending(aAnswer.Error().code);
    aSample.outcome = nothingSent ? model::Outcome::NotRun : model::Outcome::Unknown;
    return;
  }
  aSample.status = aAnswer->status;
  aSample.retryAfter = !aAnswer->HeaderValue("Retry-After").empty();
  std::optional<Json::Value> body = document::ParseMessage(aAnswer->body);
  if (!body || !body->isObject()) {
    return;
  }
  if (aKeepBody) {
    aSample.body = aAnswer->body;
  }
  aSample.outcome =
    model::OutcomeFromText((*body)["outcome"].asString()).value_or(model::Outcome::Unknown);
  aSample.snapshot = (*body)["snapshot"].asString();
  if ((*body)["error"].isObject()) {
    aSample.error = (*body)["error"]["code"].asString();
  }
  if ((*body)["coverage"].isObject()) {
    aSample.answered = (*body)["coverage"]["answered"].asUInt64();
    aSample.total = (*body)["coverage"]["total"].asUInt64();
  }
}

} // namespace

std::vector<Sample>
RunLoad(const LoadOptions& aOptions, const std::function<void(size_t aSent, size_t aOf)>& aProgress)
{
  std::vector<Arrival> arrivals = Schedule(aOptions.streams, aOptions.seed);
  std::vector<Sample> samples(arrivals.size());
  std::atomic<size_t> next{ 0 };
  Balancer balancer(aOptions);
  base::Instant start = base::Now();
  std::mutex resentMutex;
  std::vector<Sample> resent;
  auto send = [&](const Stream& aStream, Sample& aSample, base::Instant aScheduled) {
    base::Result<net::Response> answer = balancer.Send(MakeRequest(aOptions, aStream, aSample));
    aSample.latency = base::Now() - aScheduled;
    ReadAnswer(answer, aOptions.keepBodies, aSample);
  };
  auto resend = [&](const Stream& aStream, const Sample& aFirst) {
    Sample last = aFirst;
    for (size_t attempt = 1; attempt <= aOptions.resends && last.outcome != model::Outcome::Ran;
         ++attempt) {
      std::this_thread::sleep_for(aOptions.resendPause);
      Sample next = PrepareSample(aFirst, attempt);
      next.at = base::Now() - start;
      send(aStream, next, base::Now());
      last = next;
      std::lock_guard<std::mutex> lock(resentMutex);
      resent.push_back(std::move(next));
    }
  };
  auto work = [&] {
    for (size_t index = next.fetch_add(1); index < arrivals.size(); index = next.fetch_add(1)) {
      const Arrival& arrival = arrivals[index];
      const Stream& stream = aOptions.streams[arrival.stream];
      Sample& sample = samples[index];
      sample = FirstSample(aOptions, stream, arrival);
      std::this_thread::sleep_until(start + arrival.at);
      send(stream, sample, start + arrival.at);
      if (stream.booking) {
        resend(stream, sample);
      }
    }
  };
  std::atomic<bool> done{ false };
  std::thread reporter([&] {
    base::Instant reportAt = start + kProgressEvery;
    while (!done) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      if (base::Now() >= reportAt) {
        aProgress(std::min(next.load(), arrivals.size()), arrivals.size());
        reportAt += kProgressEvery;
      }
    }
  });
  std::vector<std::thread> threads;
  for (size_t index = 0; index < aOptions.threads; ++index) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  done = true;
  reporter.join();
  samples.insert(samples.end(), resent.begin(), resent.end());
  return samples;
}

} // namespace sapphirewind::load
