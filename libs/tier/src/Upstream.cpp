#include <tier/Upstream.h>

#include <charconv>
#include <document/Document.h>
#include <model/FieldReader.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kRefusalProbeTimeout = std::chrono::milliseconds(100);

AttemptOutcome
OutcomeOfFailure(const std::error_code& aCode)
{
  if (aCode == net::Errc::Withheld) {
    return AttemptOutcome::NotSent;
  }
  if (net::FailedBeforeSending(aCode)) {
    return AttemptOutcome::ConnectFailed;
  }
  if (aCode == net::Errc::TimedOut) {
    return AttemptOutcome::TimedOut;
  }
  return aCode == net::Errc::Aborted ? AttemptOutcome::Aborted : AttemptOutcome::ConnectionLost;
}

/// Maps an error response to an outcome. It counts as not run only if its body states so.
AttemptOutcome
OutcomeOfRefusal(const net::Response& aResponse)
{
  std::optional<Json::Value> body = document::ParseMessage(aResponse.body);
  bool statedNotRun =
    body && body->isObject() && (*body)["run"].isBool() && !(*body)["run"].asBool();
  if (!statedNotRun) {
    return AttemptOutcome::Failed;
  }
  if (aResponse.status == 409) {
    return AttemptOutcome::NoSnapshot;
  }
  return aResponse.status == 504 ? AttemptOutcome::DeadlinePassed : AttemptOutcome::Shed;
}

std::optional<double>
ParseLoad(const std::string& aText)
{
  double load = 0.0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), load);
  return error == std::errc() && !aText.empty() ? std::optional(load) : std::nullopt;
}

/// Fills the fields of a result that are common to all exchanges.
AttemptResult
ResultFrom(const base::Result<net::Response>& aResponse, base::Instant aStarted)
{
  AttemptResult result;
  result.elapsed = base::Now() - aStarted;
  if (!aResponse) {
    result.outcome = OutcomeOfFailure(aResponse.Error().code);
    result.detail = aResponse.Error().detail;
    return result;
  }
  result.draining = !aResponse->HeaderValue(model::kDrainingHeader).empty();
  result.load = ParseLoad(aResponse->HeaderValue(model::kLoadHeader));
  result.outcome =
    aResponse->status == 200 ? AttemptOutcome::Answered : OutcomeOfRefusal(*aResponse);
  return result;
}

net::Request
MakePost(const std::string& aPath, const Json::Value& aBody, base::Duration aRemaining)
{
  net::Request request{ .method = "POST", .path = aPath, .body = document::Serialize(aBody) };
  request.headers.push_back(net::Header{ .name = model::kDeadlineHeader,
                                         .value = std::to_string(base::ToMillis(aRemaining)) });
  return request;
}

AttemptResult
MakeDiscarded(AttemptResult aResult, std::string aReason)
{
  aResult.outcome = AttemptOutcome::Discarded;
  aResult.detail = std::move(aReason);
  return aResult;
}

} // namespace

bool
ProvesNotRun(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Shed:
    case AttemptOutcome::NoSnapshot:
    case AttemptOutcome::DeadlinePassed:
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::NotSent:
      return true;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Discarded:
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Aborted:
    case AttemptOutcome::Failed:
      return false;
  }
  return false;
}

AttemptResult
SendSearch(net::Connection& aConnection,
           const model::AttemptRequest& aRequest,
           base::Duration aTimeout,
           std::function<bool()> aMayStillSend)
{
  base::Instant started = base::Now();
  net::Request request = MakePost("/v1/query", model::ToJson(aRequest), aRequest.remaining);
  request.mayStillSend = std::move(aMayStillSend);
  base::Result<net::Response> response = aConnection.Send(request, aTimeout);
  AttemptResult result = ResultFrom(response, started);
  if (result.outcome != AttemptOutcome::Answered) {
    return result;
  }
  std::optional<Json::Value> body = document::ParseMessage(response->body);
  std::optional<model::AttemptResponse> answer =
    body ? model::AttemptResponseFromJson(*body) : std::nullopt;
  if (!answer) {
    return MakeDiscarded(std::move(result), "malformed answer");
  }
  if (std::optional<std::string> mismatch = model::FindMismatch(aRequest, *answer)) {
    return MakeDiscarded(std::move(result), *mismatch);
  }
  result.answer = model::FilterToRequested(aRequest, std::move(*answer));
  return result;
}

AttemptResult
SendBooking(net::Connection& aConnection,
            const model::BookingTask& aTask,
            const std::string& aAttemptId,
            base::Duration aTimeout,
            std::function<bool()> aMayStillSend)
{
  Json::Value body;
  body["attempt"] = aAttemptId;
  body["request"] = aTask.requestId;
  body["key"] = aTask.key;
  body["body"] = aTask.body;
  base::Instant started = base::Now();
  net::Request request = MakePost("/v1/book", body, aTask.remaining);
  request.mayStillSend = std::move(aMayStillSend);
  base::Result<net::Response> response = aConnection.Send(request, aTimeout);
  AttemptResult result = ResultFrom(response, started);
  if (result.outcome != AttemptOutcome::Answered) {
    return result;
  }
  std::optional<Json::Value> answer = document::ParseMessage(response->body);
  if (!answer) {
    return MakeDiscarded(std::move(result), "malformed answer");
  }
  model::FieldReader fields(*answer);
  bool matches =
    fields.String("attempt") == aAttemptId && fields.String("request") == aTask.requestId;
  result.receipt = fields.String("receipt");
  if (!fields.Ok() || !matches) {
    return MakeDiscarded(std::move(result), "the answer belongs to another booking");
  }
  return result;
}

void
SendCancel(net::Connection& aConnection, const std::string& aAttemptId, base::Duration aTimeout)
{
  Json::Value body;
  body["attempt"] = aAttemptId;
  aConnection.Send(MakePost("/v1/cancel", body, aTimeout), aTimeout);
}

std::optional<HealthReport>
FetchHealth(net::ConnectionPool& aPool, base::Duration aTimeout)
{
  net::Request request{ .method = "GET", .path = "/health" };
  base::Result<net::Response> response = aPool.Exchange(request, aTimeout);
  if (!response || response->status != 200) {
    return std::nullopt;
  }
  std::optional<Json::Value> body = document::ParseMessage(response->body);
  if (!body) {
    return std::nullopt;
  }
  model::FieldReader fields(*body);
  HealthReport report{ .draining = fields.Boolean("draining"),
                       .snapshots = fields.Strings("snapshots"),
                       .load = fields.Number("load") };
  return fields.Ok() ? std::optional(report) : std::nullopt;
}

bool
RefusesConnections(const net::Endpoint& aEndpoint)
{
  net::ConnectionOptions options{ .connectTimeout = kRefusalProbeTimeout, .keepAlive = false };
  net::Connection connection(aEndpoint, options);
  net::Request request{ .method = "GET", .path = "/health" };
  base::Instant started = base::Now();
  base::Result<net::Response> response = connection.Send(request, kRefusalProbeTimeout);
  // Only a quick refusal proves that no process listens; at a busy server, the connection attempt
  // waits instead.
  bool refused = base::Now() - started < kRefusalProbeTimeout / 2;
  return refused && !response && net::FailedBeforeSending(response.Error().code);
}

} // namespace sapphirewind::tier
