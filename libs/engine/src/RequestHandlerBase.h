/// @file State common to plain requests and queries: the timer, the single response to the caller
/// and its log record.
#pragma once

#include <engine/RequestHandler.h>

namespace sapphirewind::engine {

/// The route's latency objective divided by this is the time after which a request that could not
/// be sent to any server is refused, so that the caller can still try another instance. The time
/// counts from the start of handling, not from arrival, because requests that waited for the
/// configuration start together and compete for the same slots.
constexpr int kRefusalDeadlineDivisor = 4;
/// The response is sent this long before the caller's deadline.
constexpr base::Duration kDeadlineMargin = std::chrono::milliseconds(10);
/// Retry-After of a request that no server had capacity for, unless they name a time.
constexpr base::Duration kRetryAfter = std::chrono::milliseconds(100);

/// Reasons for a refusal, for the log record.
constexpr const char* kDeadlineExceeded = "deadline exceeded";
constexpr const char* kAttemptsExhausted = "attempts exhausted";
constexpr const char* kNoCapacity = "no server had capacity";
constexpr const char* kCoverageUnreachable = "minimum coverage can no longer be reached";
constexpr const char* kExecutionUnknown = "server refused without a not-executed header";

class RequestHandlerBase : public RequestHandler
{
public:
  RequestHandlerBase(EngineContext& aContext,
                     std::shared_ptr<const IncomingRequest> aRequest,
                     OnResponse aOnResponse);

  void Cancel() override;

protected:
  /// Starts attempts that are due, or responds. Called on each state change and when the timer
  /// fires.
  virtual void Evaluate() = 0;
  virtual void CancelCalls() = 0;
  virtual void DetachCalls() = 0;
  /// Servers whose connection closed after the request was sent and before a response.
  virtual std::vector<std::shared_ptr<UpstreamServer>> LostServers() const = 0;
  /// When enough servers may be available again, by the times that they named; now if none did.
  virtual base::Instant AvailableAt(base::Instant aNow) const = 0;
  /// The calls to include in the log record.
  virtual Json::Value CallsToLog() const = 0;
  virtual std::shared_ptr<RequestHandlerBase> Self() = 0;

  base::Instant RefusalDeadline() const;
  base::Instant ResponseDeadline() const { return this->request->deadline - kDeadlineMargin; }
  bool IsDone() const { return this->done; }
  /// Schedules the next evaluation, replacing one that is scheduled.
  void ScheduleEvaluation(base::Instant aWhen);
  /// Posts an evaluation to the event loop.
  void PostEvaluation();
  /// Responds with data received from servers.
  void ForwardResponse(HttpResponse&& aResponse, Counter aCounter);
  void Refuse(dispatch::RequestFailure aRefusal, const char* aWhy);

  EngineContext& context;
  std::shared_ptr<const IncomingRequest> request;

private:
  /// Reports the servers that were lost while they ran this request. Each way to end calls it, but
  /// a whole answer.
  void ReportLosses();
  void Complete(HttpResponse&& aResponse, Counter aCounter, const char* aWhy);
  base::Duration RetryAfter() const;
  void LogCompletion(unsigned aStatus, base::Duration aTook, const char* aWhy);

  OnResponse onResponse;
  base::Instant startedAt;
  Timer timer;
  bool done = false;
};

} // namespace sapphirewind::engine
