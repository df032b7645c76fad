#include <platform/Store.h>

#include <base/ErrorCategory.h>
#include <document/Document.h>

namespace sapphirewind::platform {

namespace {

const char*
DescribeErrc(Errc aError)
{
  switch (aError) {
    case Errc::Unavailable:
      return "the platform's store did not answer";
    case Errc::Conflict:
      return "the object was changed by another";
    case Errc::NotFound:
      return "the object does not exist";
    case Errc::Malformed:
      return "the platform's answer cannot be read";
  }
  return "unknown platform error";
}

base::Failure
Fail(Errc aCode, std::string aDetail)
{
  return base::Failure{ .code = aCode, .detail = std::move(aDetail) };
}

constexpr int kConflictStatus = 412;
constexpr int kNotFoundStatus = 404;

/// Turns the network's and the platform's failures into the store's own.
std::optional<base::Failure>
FailureOf(const base::Result<net::Response>& aAnswer, const std::string& aWhat)
{
  if (!aAnswer) {
    return Fail(Errc::Unavailable, aWhat + ": " + aAnswer.Error().code.message());
  }
  if (aAnswer->status == kConflictStatus) {
    return Fail(Errc::Conflict, aWhat);
  }
  if (aAnswer->status == kNotFoundStatus) {
    return Fail(Errc::NotFound, aWhat);
  }
  if (aAnswer->status != 200 && aAnswer->status != 201) {
    return Fail(Errc::Unavailable, aWhat + ": status " + std::to_string(aAnswer->status));
  }
  return std::nullopt;
}

base::Result<Json::Value>
BodyOf(const base::Result<net::Response>& aAnswer, const std::string& aWhat)
{
  if (std::optional<base::Failure> failure = FailureOf(aAnswer, aWhat)) {
    return *failure;
  }
  std::optional<Json::Value> body = document::ParseMessage(aAnswer->body);
  if (!body || !body->isObject()) {
    return Fail(Errc::Malformed, aWhat);
  }
  return *body;
}

} // namespace

std::error_code
make_error_code(Errc aError)
{
  static const base::EnumCategory<Errc> kCategory("platform", &DescribeErrc);
  return { static_cast<int>(aError), kCategory };
}

HttpStore::HttpStore(net::Endpoint aPlatform, base::Duration aTimeout)
  : pool(std::move(aPlatform), net::PoolOptions{})
  , timeout(aTimeout)
{
}

base::Result<VersionedValue>
HttpStore::Read(const std::string& aName)
{
  net::Request request{ .method = "GET", .path = "/v1/objects/" + aName };
  std::string what = "read " + aName;
  base::Result<Json::Value> body = BodyOf(this->pool.Exchange(request, this->timeout), what);
  if (!body) {
    return body.Error();
  }
  if (!(*body)["version"].isUInt64() || !body->isMember("value")) {
    return Fail(Errc::Malformed, what);
  }
  return VersionedValue{ .version = (*body)["version"].asUInt64(), .value = (*body)["value"] };
}

base::Result<uint64_t>
HttpStore::Write(const std::string& aName, const Json::Value& aValue, uint64_t aExpectedVersion)
{
  net::Request request{ .method = "PUT",
                        .path = "/v1/objects/" + aName,
                        .body = document::Serialize(aValue) };
  net::Header condition =
    aExpectedVersion == kAbsent
      ? net::Header{ .name = "If-None-Match", .value = "*" }
      : net::Header{ .name = "If-Match", .value = std::to_string(aExpectedVersion) };
  request.headers.push_back(condition);
  std::string what = "write " + aName;
  base::Result<Json::Value> body = BodyOf(this->pool.Exchange(request, this->timeout), what);
  if (!body) {
    return body.Error();
  }
  if (!(*body)["version"].isUInt64()) {
    return Fail(Errc::Malformed, what);
  }
  return (*body)["version"].asUInt64();
}

base::Result<WatchResponse>
HttpStore::Watch(const std::string& aPrefix, uint64_t aAfterRevision, base::Duration aWait)
{
  net::Request request{ .method = "GET",
                        .path = "/v1/watch?prefix=" + aPrefix +
                                "&after=" + std::to_string(aAfterRevision) +
                                "&wait_ms=" + std::to_string(base::ToMillis(aWait)) };
  std::string what = "watch " + aPrefix;
  base::Result<Json::Value> body =
    BodyOf(this->pool.Exchange(request, this->timeout + aWait), what);
  if (!body) {
    return body.Error();
  }
  if (!(*body)["revision"].isUInt64() || !(*body)["changes"].isObject()) {
    return Fail(Errc::Malformed, what);
  }
  WatchResponse answer{ .revision = (*body)["revision"].asUInt64(), .changes = {} };
  const Json::Value& changes = (*body)["changes"];
  for (const std::string& name : changes.getMemberNames()) {
    if (!changes[name].isUInt64()) {
      return Fail(Errc::Malformed, what);
    }
    answer.changes.push_back(ObjectChange{ .name = name, .version = changes[name].asUInt64() });
  }
  return answer;
}

} // namespace sapphirewind::platform
