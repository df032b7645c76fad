#include <tier/Upstream.h>

#include <charconv>
#include <document/Document.h>
#include <model/FieldReader.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kGoneProbeTimeout = std::chrono::milliseconds(100);

AttemptEnd
EndOfFailure(const std::error_code& aCode)
{
  if (net::FailedBeforeSending(aCode)) {
    return AttemptEnd::ConnectFailed;
  }
  if (aCode == net::Errc::TimedOut) {
    return AttemptEnd::TimedOut;
  }
  return aCode == net::Errc::Aborted ? AttemptEnd::Aborted : AttemptEnd::Broken;
}

/// What a refusal's body says. A refusal counts as not run only if it says so itself.
AttemptEnd
EndOfRefusal(const net::Response& aResponse)
{
  std::optional<Json::Value> body = document::ParseMessage(aResponse.body);
  bool saysNotRun = body && body->isObject() && (*body)["run"].isBool() && !(*body)["run"].asBool();
  if (!saysNotRun) {
    return AttemptEnd::Failed;
  }
  if (aResponse.status == 409) {
    return AttemptEnd::NoSnapshot;
  }
  return aResponse.status == 504 ? AttemptEnd::TooLate : AttemptEnd::Shed;
}

std::optional<double>
ParseLoad(const std::string& aText)
{
  double load = 0.0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), load);
  return error == std::errc() && !aText.empty() ? std::optional(load) : std::nullopt;
}

/// The parts of a result that every exchange has.
AttemptResult
Begin(const base::Result<net::Response>& aResponse, base::Instant aStarted)
{
  AttemptResult result;
  result.elapsed = base::Now() - aStarted;
  if (!aResponse) {
    result.end = EndOfFailure(aResponse.Error().code);
    result.detail = aResponse.Error().detail;
    return result;
  }
  result.draining = !aResponse->HeaderValue(model::kDrainingHeader).empty();
  result.load = ParseLoad(aResponse->HeaderValue(model::kLoadHeader));
  result.end = aResponse->status == 200 ? AttemptEnd::Answered : EndOfRefusal(*aResponse);
  return result;
}

net::Request
Post(const std::string& aPath, const Json::Value& aBody, base::Duration aRemaining)
{
  net::Request request{ .method = "POST", .path = aPath, .body = document::Serialize(aBody) };
  request.headers.push_back(net::Header{ .name = model::kDeadlineHeader,
                                         .value = std::to_string(base::ToMillis(aRemaining)) });
  return request;
}

AttemptResult
Discard(AttemptResult aResult, std::string aWhy)
{
  aResult.end = AttemptEnd::Discarded;
  aResult.detail = std::move(aWhy);
  return aResult;
}

} // namespace

bool
ProvesNotRun(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Shed:
    case AttemptEnd::NoSnapshot:
    case AttemptEnd::TooLate:
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::NotSent:
      return true;
    case AttemptEnd::Answered:
    case AttemptEnd::Discarded:
    case AttemptEnd::Broken:
    case AttemptEnd::TimedOut:
    case AttemptEnd::Aborted:
    case AttemptEnd::Failed:
      return false;
  }
  return false;
}

AttemptResult
SendSearch(net::Connection& aConnection,
           const model::AttemptRequest& aRequest,
           base::Duration aTimeout)
{
  base::Instant started = base::Now();
  net::Request request = Post("/v1/query", model::ToJson(aRequest), aRequest.remaining);
  base::Result<net::Response> response = aConnection.Send(request, aTimeout);
  AttemptResult result = Begin(response, started);
  if (result.end != AttemptEnd::Answered) {
    return result;
  }
  std::optional<Json::Value> body = document::ParseMessage(response->body);
  std::optional<model::AttemptResponse> answer =
    body ? model::AttemptResponseFromJson(*body) : std::nullopt;
  if (!answer) {
    return Discard(std::move(result), "an answer that cannot be read");
  }
  if (std::optional<std::string> mismatch = model::FindMismatch(aRequest, *answer)) {
    return Discard(std::move(result), *mismatch);
  }
  result.answer = model::FilterToRequested(aRequest, std::move(*answer));
  return result;
}

AttemptResult
SendBooking(net::Connection& aConnection,
            const model::BookingTask& aTask,
            const std::string& aAttemptId,
            base::Duration aTimeout)
{
  Json::Value body;
  body["attempt"] = aAttemptId;
  body["request"] = aTask.requestId;
  body["key"] = aTask.key;
  body["body"] = aTask.body;
  base::Instant started = base::Now();
  base::Result<net::Response> response =
    aConnection.Send(Post("/v1/book", body, aTask.remaining), aTimeout);
  AttemptResult result = Begin(response, started);
  if (result.end != AttemptEnd::Answered) {
    return result;
  }
  std::optional<Json::Value> answer = document::ParseMessage(response->body);
  if (!answer) {
    return Discard(std::move(result), "an answer that cannot be read");
  }
  model::FieldReader fields(*answer);
  bool own = fields.String("attempt") == aAttemptId && fields.String("request") == aTask.requestId;
  result.receipt = fields.String("receipt");
  if (!fields.Ok() || !own) {
    return Discard(std::move(result), "an answer to another booking");
  }
  return result;
}

void
SendCancel(net::Connection& aConnection, const std::string& aAttemptId, base::Duration aTimeout)
{
  Json::Value body;
  body["attempt"] = aAttemptId;
  aConnection.Send(Post("/v1/cancel", body, aTimeout), aTimeout);
}

std::optional<HealthReport>
AskHealth(net::ConnectionPool& aPool, base::Duration aTimeout)
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
IsGone(const net::Endpoint& aEndpoint)
{
  net::ConnectionOptions options{ .connectTimeout = kGoneProbeTimeout, .keepAlive = false };
  net::Connection connection(aEndpoint, options);
  net::Request request{ .method = "GET", .path = "/health" };
  base::Instant started = base::Now();
  base::Result<net::Response> response = connection.Send(request, kGoneProbeTimeout);
  // Only a refusal shows that nobody listens; a server that is merely busy lets the connection
  // wait.
  bool refused = base::Now() - started < kGoneProbeTimeout / 2;
  return refused && !response && net::FailedBeforeSending(response.Error().code);
}

} // namespace sapphirewind::tier
