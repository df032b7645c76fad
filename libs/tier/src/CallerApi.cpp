#include <tier/CallerApi.h>

#include <base/Random.h>
#include <charconv>
#include <document/Document.h>
#include <model/FieldReader.h>
#include <model/Peer.h>

namespace sapphirewind::tier {

namespace {

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr int64_t kMaxDeadlineMillis = 3'600'000;

/// Parses the body as a JSON object; returns nothing and sets aBad if it is not one.
std::optional<Json::Value>
ParseBody(const net::Request& aRequest, BadRequest& aBad)
{
  std::optional<Json::Value> body = document::ParseMessage(aRequest.body);
  if (!body || !body->isObject()) {
    aBad =
      BadRequest{ .error = model::Errc::Malformed,
                  .detail = "the body must be one JSON object in UTF-8, at most 64 levels deep" };
    return std::nullopt;
  }
  return body;
}

bool
ReadText(const Json::Value& aBody,
         const char* aName,
         size_t aMax,
         std::string& aOut,
         BadRequest& aBad)
{
  const Json::Value& member = aBody[aName];
  if (!member.isString() || member.asString().empty() || member.asString().size() > aMax) {
    aBad = BadRequest{ .error = model::Errc::Malformed,
                       .detail = std::string(aName) + " must be a text of 1 to " +
                                 std::to_string(aMax) + " bytes" };
    return false;
  }
  aOut = member.asString();
  return true;
}

bool
ReadCount(const Json::Value& aBody,
          const char* aName,
          size_t aMin,
          size_t aMax,
          size_t& aOut,
          BadRequest& aBad)
{
  if (!aBody.isMember(aName)) {
    return true;
  }
  const Json::Value& member = aBody[aName];
  if (!member.isUInt64() || member.asUInt64() < aMin || member.asUInt64() > aMax) {
    aBad = BadRequest{ .error = model::Errc::Malformed,
                       .detail = std::string(aName) + " must be a whole number from " +
                                 std::to_string(aMin) + " to " + std::to_string(aMax) };
    return false;
  }
  aOut = member.asUInt64();
  return true;
}

bool
ReadTimeLeft(const net::Request& aRequest, std::optional<base::Duration>& aOut, BadRequest& aBad)
{
  std::string text = aRequest.HeaderValue(model::kDeadlineHeader);
  if (text.empty()) {
    return true;
  }
  int64_t millis = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), millis);
  bool complete = error == std::errc() && end == text.data() + text.size();
  if (!complete || millis > kMaxDeadlineMillis) {
    aBad = BadRequest{ .error = model::Errc::Malformed,
                       .detail = "X-Deadline-Ms must be the milliseconds left, at most 3600000" };
    return false;
  }
  aOut = std::chrono::milliseconds(millis);
  return true;
}

bool
RejectUnknownFields(const Json::Value& aBody,
                    std::initializer_list<const char*> aKnown,
                    BadRequest& aBad)
{
  for (const std::string& name : aBody.getMemberNames()) {
    bool known = false;
    for (const char* entry : aKnown) {
      known = known || name == entry;
    }
    if (!known) {
      aBad = BadRequest{ .error = model::Errc::Malformed,
                         .detail = "unknown field " + name.substr(0, 64) };
      return false;
    }
  }
  return true;
}

/// The caller's request id if it consists of printable ASCII without spaces and is not too long;
/// otherwise a new one.
std::string
RequestIdOf(const net::Request& aRequest)
{
  std::string id = aRequest.HeaderValue(kRequestIdHeader);
  bool valid = !id.empty() && id.size() <= model::kMaxNameBytes;
  for (unsigned char character : id) {
    valid = valid && character > ' ' && character < 0x7F;
  }
  return valid ? id : base::NewId(base::ThreadRandom());
}

net::Response
BuildResponse(Json::Value aBody, int aStatus, int aRetryAfter, const std::string& aRequestId)
{
  net::Response response{ .status = aStatus, .body = document::Serialize(aBody) };
  if (!aRequestId.empty()) {
    response.headers.push_back(net::Header{ .name = kRequestIdHeader, .value = aRequestId });
  }
  if (aRetryAfter > 0) {
    response.headers.push_back(
      net::Header{ .name = "Retry-After", .value = std::to_string(aRetryAfter) });
  }
  return response;
}

void
AddError(Json::Value& aBody, const std::optional<model::Errc>& aError, const std::string& aDetail)
{
  if (aError) {
    aBody["error"]["code"] = model::ToText(*aError);
    aBody["error"]["message"] = aDetail;
  }
}

} // namespace

std::optional<ParsedSearch>
ParseSearch(const net::Request& aRequest, BadRequest& aBad)
{
  std::optional<Json::Value> body = ParseBody(aRequest, aBad);
  if (!body) {
    return std::nullopt;
  }
  ParsedSearch parsed;
  model::SearchRequest& request = parsed.request;
  request.requestId = RequestIdOf(aRequest);
  bool ok = ReadText(*body, "class", model::kMaxNameBytes, request.className, aBad) &&
            ReadText(*body, "query", model::kMaxQueryBytes, request.query, aBad) &&
            ReadCount(*body, "limit", 1, model::kMaxLimit, request.limit, aBad) &&
            ReadCount(*body, "offset", 0, model::kMaxOffset, request.offset, aBad) &&
            RejectUnknownFields(*body, { "class", "query", "limit", "offset" }, aBad) &&
            ReadTimeLeft(aRequest, parsed.timeLeft, aBad);
  return ok ? std::optional(parsed) : std::nullopt;
}

std::optional<ParsedBooking>
ParseBooking(const net::Request& aRequest, BadRequest& aBad)
{
  std::optional<Json::Value> body = ParseBody(aRequest, aBad);
  if (!body) {
    return std::nullopt;
  }
  ParsedBooking parsed;
  BookingRequest& request = parsed.request;
  request.requestId = RequestIdOf(aRequest);
  request.key = aRequest.HeaderValue(kIdempotencyKeyHeader);
  if (request.key.empty() || request.key.size() > model::kMaxNameBytes) {
    aBad = BadRequest{ .error = model::Errc::MissingKey,
                       .detail = "send an Idempotency-Key header of 1 to 128 bytes" };
    return std::nullopt;
  }
  bool ok = ReadText(*body, "class", model::kMaxNameBytes, request.className, aBad) &&
            ReadText(*body, "subject", model::kMaxNameBytes, request.subject, aBad) &&
            RejectUnknownFields(*body, { "class", "subject", "booking" }, aBad) &&
            ReadTimeLeft(aRequest, parsed.timeLeft, aBad);
  if (!ok) {
    return std::nullopt;
  }
  if (!(*body)["booking"].isObject()) {
    aBad = BadRequest{ .error = model::Errc::Malformed, .detail = "booking must be an object" };
    return std::nullopt;
  }
  request.body = document::Serialize((*body)["booking"]);
  return parsed;
}

net::Response
ToResponse(const model::SearchResponse& aAnswer)
{
  Json::Value body;
  body["request_id"] = aAnswer.requestId;
  body["outcome"] = model::ToText(aAnswer.outcome);
  AddError(body, aAnswer.error, aAnswer.detail);
  if (!aAnswer.snapshot.empty()) {
    body["snapshot"] = aAnswer.snapshot;
    body["hits"] = model::ToJson(aAnswer.hits);
    body["coverage"]["answered"] = static_cast<Json::UInt64>(aAnswer.coverage.answered);
    body["coverage"]["total"] = static_cast<Json::UInt64>(aAnswer.coverage.total);
    body["coverage"]["missing"] = model::StringsToJson(aAnswer.coverage.missing);
  }
  int status = aAnswer.error ? model::HttpStatus(*aAnswer.error) : 200;
  return BuildResponse(std::move(body), status, aAnswer.retryAfterSeconds, aAnswer.requestId);
}

net::Response
ToResponse(const BookingAnswer& aAnswer)
{
  Json::Value body;
  body["request_id"] = aAnswer.requestId;
  body["outcome"] = model::ToText(aAnswer.outcome);
  AddError(body, aAnswer.error, aAnswer.detail);
  if (aAnswer.outcome == model::Outcome::Ran) {
    body["receipt"] = aAnswer.receipt;
    body["replayed"] = aAnswer.replayed;
  }
  int status = aAnswer.error ? model::HttpStatus(*aAnswer.error) : 200;
  return BuildResponse(std::move(body), status, aAnswer.retryAfterSeconds, aAnswer.requestId);
}

net::Response
ToResponse(const BadRequest& aBad)
{
  Json::Value body;
  body["outcome"] = model::ToText(model::Outcome::NotRun);
  AddError(body, aBad.error, aBad.detail);
  return BuildResponse(std::move(body), model::HttpStatus(aBad.error), 0, "");
}

} // namespace sapphirewind::tier
