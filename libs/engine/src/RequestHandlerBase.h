/// @file What plain requests and queries share: the timer, the one answer, and its log line.
#pragma once

#include <engine/RequestHandler.h>

namespace sapphirewind::engine {

/// The part of the objective after which a request that could not be sent anywhere is refused, so
/// that its caller can try another instance in time. It counts from when sending began, as a
/// request that waited for the configuration meets others that did.
constexpr int kRefuseAfterPart = 4;
/// The final answer leaves this long before the caller's time is over.
constexpr base::Duration kDeadlineMargin = std::chrono::milliseconds(10);
/// When a caller whose request found no room is told to come back.
constexpr base::Duration kRetryAfter = std::chrono::milliseconds(100);

/// Why a request was refused, for its log line.
constexpr const char* kTimeOver = "its time is over";
constexpr const char* kNoTryLeft = "no try is left";
constexpr const char* kNoRoom = "no server had room";
constexpr const char* kTooFewParts = "too few parts can come";
constexpr const char* kNoPromise = "the server's refusal does not say that nothing ran";

class RequestHandlerBase : public RequestHandler
{
public:
  RequestHandlerBase(EngineContext& aContext,
                     std::shared_ptr<const IncomingRequest> aRequest,
                     OnResponse aOnResponse);

  void Cancel() override;

protected:
  /// Acts on what is due; called on each change and when the timer fires.
  virtual void Evaluate() = 0;
  virtual void CancelCalls() = 0;
  virtual void DetachCalls() = 0;
  /// Servers that broke their connection off while they had the request.
  virtual std::vector<std::shared_ptr<UpstreamServer>> LostAt() const = 0;
  /// The calls that a log should tell of.
  virtual Json::Value NotableCalls() const = 0;
  virtual std::shared_ptr<RequestHandlerBase> Self() = 0;

  base::Instant RefuseBy() const;
  base::Instant LastMoment() const { return this->request->deadline - kDeadlineMargin; }
  bool IsDone() const { return this->done; }
  /// Evaluates again at a time.
  void WakeAt(base::Instant aWhen);
  /// Evaluates again as soon as the event loop is free.
  void WakeNow();
  /// Passes an answer on that came from servers.
  void Answer(HttpResponse&& aResponse, Counter aCounter);
  void Refuse(dispatch::RequestFailure aRefusal, const char* aWhy);

  EngineContext& context;
  std::shared_ptr<const IncomingRequest> request;

private:
  void Respond(HttpResponse&& aResponse, Counter aCounter, const char* aWhy);
  void LogEnd(unsigned aStatus, base::Duration aTook, const char* aWhy);

  OnResponse onResponse;
  base::Instant startedAt;
  Timer timer;
  bool done = false;
};

} // namespace sapphirewind::engine
