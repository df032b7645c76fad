#include <net/Connection.h>

#include <algorithm>
#include <httplib.h>

namespace sapphirewind::net {

namespace {

constexpr base::Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr base::Duration kTimeoutSlack = std::chrono::milliseconds(5);

/// The result refers to aRequest.
httplib::Request
ToHttplib(const Request& aRequest)
{
  httplib::Request request;
  request.method = aRequest.method;
  request.path = aRequest.path;
  for (const Header& header : aRequest.headers) {
    request.headers.emplace(header.name, header.value);
  }
  if (!aRequest.body.empty() || aRequest.method != "GET") {
    request.headers.emplace("Content-Type", "application/json");
  }
  if (!aRequest.mayStillSend) {
    request.body = aRequest.body;
    return request;
  }
  request.content_length_ = aRequest.body.size();
  request.content_provider_ =
    [&aRequest](size_t aOffset, size_t aLength, httplib::DataSink& aSink) {
      return aRequest.mayStillSend() && aSink.write(aRequest.body.data() + aOffset, aLength);
    };
  return request;
}

Response
FromHttplib(const httplib::Response& aResponse)
{
  Response response;
  response.status = aResponse.status;
  response.body = aResponse.body;
  for (const auto& [name, value] : aResponse.headers) {
    response.headers.push_back(Header{ .name = name, .value = value });
  }
  return response;
}

/// Whether a status is that of a whole answer; the library takes any three digits.
bool
IsFinalStatus(int aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

bool
IsConnectError(httplib::Error aError)
{
  return aError == httplib::Error::Connection || aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

} // namespace

struct Connection::Impl
{
  Impl(const Endpoint& aEndpoint, const ConnectionOptions& aOptions)
    : client(aEndpoint.address, aEndpoint.port)
  {
    this->client.set_tcp_nodelay(true);
    this->client.set_keep_alive(aOptions.keepAlive);
    this->client.set_connection_timeout(aOptions.connectTimeout);
    this->client.set_follow_location(false);
  }

  httplib::Client client;
};

Connection::Connection(Endpoint aEndpoint, ConnectionOptions aOptions)
  : impl(std::make_unique<Impl>(aEndpoint, aOptions))
{
}

Connection::~Connection() = default;

base::Result<Response>
Connection::Send(const Request& aRequest, base::Duration aTimeout)
{
  this->reusable = false;
  if (this->aborted) {
    return base::Failure{ .code = Errc::Aborted, .detail = "aborted before sending" };
  }
  base::Duration timeout = std::max(aTimeout, kMinTimeout);
  this->impl->client.set_read_timeout(timeout);
  this->impl->client.set_write_timeout(timeout);
  base::Instant started = base::Now();
  httplib::Result result = this->impl->client.send(ToHttplib(aRequest));
  this->lastUsed = base::Now();
  if (result && !IsFinalStatus(result->status)) {
    return base::Failure{ .code = Errc::ConnectionLost,
                          .detail = "status of no answer: " + std::to_string(result->status) };
  }
  if (result) {
    bool closing = result->get_header_value("Connection") == "close";
    this->reusable = !this->aborted && !closing;
    return FromHttplib(*result);
  }
  std::string detail = httplib::to_string(result.error());
  if (IsConnectError(result.error())) {
    return base::Failure{ .code = Errc::ConnectFailed, .detail = detail };
  }
  if (this->aborted) {
    return base::Failure{ .code = Errc::Aborted, .detail = detail };
  }
  if (result.error() == httplib::Error::Canceled) {
    return base::Failure{ .code = Errc::Withheld, .detail = detail };
  }
  // The library's timeout may end slightly early, hence the slack.
  bool late = this->lastUsed - started + kTimeoutSlack >= timeout;
  return base::Failure{ .code = late ? Errc::TimedOut : Errc::ConnectionLost, .detail = detail };
}

void
Connection::Abort()
{
  this->aborted = true;
  this->impl->client.stop();
}

bool
Connection::IsReusable() const
{
  return this->reusable && !this->aborted;
}

ConnectionPool::ConnectionPool(Endpoint aEndpoint, PoolOptions aOptions)
  : endpoint(std::move(aEndpoint))
  , options(aOptions)
{
}

std::unique_ptr<Connection>
ConnectionPool::Acquire(base::Instant aNow, bool aNewConnection)
{
  if (!aNewConnection) {
    std::lock_guard<std::mutex> lock(this->mutex);
    while (!this->idle.empty()) {
      std::unique_ptr<Connection> connection = std::move(this->idle.back());
      this->idle.pop_back();
      if (aNow - connection->LastUsed() < this->options.maxIdleTime) {
        return connection;
      }
    }
  }
  return std::make_unique<Connection>(this->endpoint, this->options.connection);
}

void
ConnectionPool::Release(std::unique_ptr<Connection> aConnection, base::Instant aNow)
{
  if (!aConnection->IsReusable()) {
    return;
  }
  this->CloseIdle(aNow);
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->idle.size() < this->options.maxIdleConnections) {
    this->idle.push_back(std::move(aConnection));
  }
}

void
ConnectionPool::CloseIdle(base::Instant aNow)
{
  std::vector<std::unique_ptr<Connection>> closing;
  std::lock_guard<std::mutex> lock(this->mutex);
  auto isExpired = [&](const std::unique_ptr<Connection>& aConnection) {
    return aNow - aConnection->LastUsed() >= this->options.maxIdleTime;
  };
  auto firstRecent = std::stable_partition(this->idle.begin(), this->idle.end(), isExpired);
  std::move(this->idle.begin(), firstRecent, std::back_inserter(closing));
  this->idle.erase(this->idle.begin(), firstRecent);
}

base::Result<Response>
ConnectionPool::Exchange(const Request& aRequest, base::Duration aTimeout, bool aNewConnection)
{
  std::unique_ptr<Connection> connection = this->Acquire(base::Now(), aNewConnection);
  base::Result<Response> result = connection->Send(aRequest, aTimeout);
  this->Release(std::move(connection), base::Now());
  return result;
}

} // namespace sapphirewind::net
