#include <platform/Store.h>

#include <base/ErrorCategory.h>
#include <document/Document.h>
#include <uri/RequestTarget.h>

namespace sapphirewind::platform {

namespace {

const char*
DescribeErrc(Errc aError)
{
  switch (aError) {
    case Errc::Unavailable:
      return "the platform's store did not respond";
    case Errc::Conflict:
      return "the object was changed by another writer";
    case Errc::NotFound:
      return "the object does not exist";
    case Errc::Malformed:
      return "the platform's response is malformed";
  }
  return "unknown platform error";
}

base::Failure
MakeFailure(Errc aCode, std::string aDetail)
{
  return base::Failure{ .code = aCode, .detail = std::move(aDetail) };
}

constexpr const char* kObjectsPath = "/v1/objects/";

constexpr int kPreconditionFailedStatus = 412;
constexpr int kNotFoundStatus = 404;

/// Maps network errors and HTTP statuses to store errors; empty on success.
std::optional<base::Failure>
FindFailure(const base::Result<net::Response>& aResponse, const std::string& aOperation)
{
  if (!aResponse) {
    return MakeFailure(Errc::Unavailable, aOperation + ": " + aResponse.Error().code.message());
  }
  if (aResponse->status == kPreconditionFailedStatus) {
    return MakeFailure(Errc::Conflict, aOperation);
  }
  if (aResponse->status == kNotFoundStatus) {
    return MakeFailure(Errc::NotFound, aOperation);
  }
  if (aResponse->status != 200 && aResponse->status != 201) {
    return MakeFailure(Errc::Unavailable,
                       aOperation + ": status " + std::to_string(aResponse->status));
  }
  return std::nullopt;
}

base::Result<Json::Value>
ParseBody(const base::Result<net::Response>& aResponse, const std::string& aOperation)
{
  if (std::optional<base::Failure> failure = FindFailure(aResponse, aOperation)) {
    return *failure;
  }
  std::optional<Json::Value> body = document::ParseMessage(aResponse->body);
  if (!body || !body->isObject()) {
    return MakeFailure(Errc::Malformed, aOperation);
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
  net::Request request{ .method = "GET", .path = kObjectsPath + uri::EncodePath(aName) };
  std::string operation = "read " + aName;
  base::Result<Json::Value> body =
    ParseBody(this->pool.Exchange(request, this->timeout), operation);
  if (!body) {
    return body.Error();
  }
  if (!(*body)["version"].isUInt64() || !body->isMember("value")) {
    return MakeFailure(Errc::Malformed, operation);
  }
  return VersionedValue{ .version = (*body)["version"].asUInt64(), .value = (*body)["value"] };
}

base::Result<uint64_t>
HttpStore::Write(const std::string& aName, const Json::Value& aValue, uint64_t aExpectedVersion)
{
  net::Request request{ .method = "PUT",
                        .path = kObjectsPath + uri::EncodePath(aName),
                        .body = document::Serialize(aValue) };
  net::Header condition =
    aExpectedVersion == kAbsent
      ? net::Header{ .name = "If-None-Match", .value = "*" }
      : net::Header{ .name = "If-Match", .value = std::to_string(aExpectedVersion) };
  request.headers.push_back(condition);
  std::string operation = "write " + aName;
  base::Result<Json::Value> body =
    ParseBody(this->pool.Exchange(request, this->timeout), operation);
  if (!body) {
    return body.Error();
  }
  if (!(*body)["version"].isUInt64()) {
    return MakeFailure(Errc::Malformed, operation);
  }
  return (*body)["version"].asUInt64();
}

base::Result<WatchResponse>
HttpStore::Watch(const std::string& aPrefix, uint64_t aAfterRevision, base::Duration aWait)
{
  net::Request request{ .method = "GET",
                        .path = "/v1/watch?prefix=" + uri::EncodeComponent(aPrefix) +
                                "&after=" + std::to_string(aAfterRevision) +
                                "&wait_ms=" + std::to_string(base::ToMillis(aWait)) };
  std::string operation = "watch " + aPrefix;
  base::Result<Json::Value> body =
    ParseBody(this->pool.Exchange(request, this->timeout + aWait), operation);
  if (!body) {
    return body.Error();
  }
  if (!(*body)["revision"].isUInt64() || !(*body)["changes"].isObject()) {
    return MakeFailure(Errc::Malformed, operation);
  }
  WatchResponse response{ .revision = (*body)["revision"].asUInt64(), .changes = {} };
  const Json::Value& changes = (*body)["changes"];
  for (const std::string& name : changes.getMemberNames()) {
    if (!changes[name].isUInt64()) {
      return MakeFailure(Errc::Malformed, operation);
    }
    response.changes.push_back(ObjectChange{ .name = name, .version = changes[name].asUInt64() });
  }
  return response;
}

} // namespace sapphirewind::platform
