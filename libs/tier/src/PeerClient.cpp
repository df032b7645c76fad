#include <tier/PeerClient.h>

#include <base/ErrorCategory.h>
#include <optional>
#include <rpc/JsonRpc.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Shorter than the server's idle timeout of 5 s, so that the server does not close a connection
/// that is about to be reused.
constexpr base::Duration kMaxIdleTime = std::chrono::seconds(3);
constexpr size_t kMaxIdleConnections = 128;

const char*
DescribeErrc(PeerErrc aError)
{
  switch (aError) {
    case PeerErrc::Unreachable:
      return "peer unreachable";
    case PeerErrc::Lost:
      return "no answer from the peer; the call may have run";
    case PeerErrc::Refused:
      return "call refused by the peer";
    case PeerErrc::Malformed:
      return "malformed answer from the peer";
  }
  return "unknown peer error";
}

PeerErrc
FromNetworkError(const std::error_code& aCode)
{
  return net::FailedBeforeSending(aCode) ? PeerErrc::Unreachable : PeerErrc::Lost;
}

} // namespace

std::error_code
make_error_code(PeerErrc aError)
{
  static const base::EnumCategory<PeerErrc> kCategory("peer", &DescribeErrc);
  return { static_cast<int>(aError), kCategory };
}

PeerClient::Peer::Peer(net::Endpoint aEndpoint)
  : pool(std::move(aEndpoint),
         net::PoolOptions{ .connection = { .connectTimeout = kConnectTimeout },
                           .maxIdleTime = kMaxIdleTime,
                           .maxIdleConnections = kMaxIdleConnections })
{
}

PeerClient::Peer*
PeerClient::FindOrCreate(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::unique_ptr<Peer>& peer = this->peers[aAddress];
  if (!peer) {
    net::Endpoint endpoint;
    if (!net::ParseEndpoint(aAddress, endpoint)) {
      this->peers.erase(aAddress);
      return nullptr;
    }
    peer = std::make_unique<Peer>(endpoint);
  }
  return peer.get();
}

base::Result<Json::Value>
PeerClient::Call(const std::string& aAddress,
                 const std::string& aMethod,
                 const Json::Value& aParameters,
                 const CallOptions& aOptions)
{
  Peer* peer = this->FindOrCreate(aAddress);
  if (!peer) {
    return base::Failure{ .code = PeerErrc::Unreachable,
                          .detail = "invalid peer address " + aAddress };
  }
  std::optional<base::Failure> networkFailure;
  auto exchange = [&](const std::string& aRequest, std::string& aAnswer) {
    net::Request request{ .method = "POST", .path = "/rpc", .body = aRequest };
    base::Result<net::Response> response =
      peer->pool.Exchange(request, aOptions.timeout, aOptions.newConnection);
    if (!response) {
      networkFailure = response.Error();
      return false;
    }
    if (response->status == 503) {
      networkFailure = base::Failure{ .code = net::Errc::ConnectFailed, .detail = "refused" };
      return false;
    }
    peer->lastAnswer = base::Now().time_since_epoch().count();
    aAnswer = response->body;
    return true;
  };
  rpc::CallOutcome outcome = rpc::Call(aMethod, aParameters, exchange);
  switch (outcome.status) {
    case rpc::CallStatus::Ok:
      return outcome.result;
    case rpc::CallStatus::Refused:
      return base::Failure{ .code = PeerErrc::Refused, .detail = outcome.detail };
    case rpc::CallStatus::Malformed:
      return base::Failure{ .code = PeerErrc::Malformed, .detail = outcome.detail };
    case rpc::CallStatus::Transport:
      break;
  }
  PeerErrc code = networkFailure ? FromNetworkError(networkFailure->code) : PeerErrc::Lost;
  return base::Failure{ .code = code, .detail = networkFailure ? networkFailure->detail : "" };
}

base::Instant
PeerClient::LastAnswer(const std::string& aAddress) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->peers.find(aAddress);
  int64_t micros = found == this->peers.end() ? 0 : found->second->lastAnswer.load();
  return base::Instant(base::Duration(micros));
}

} // namespace sapphirewind::tier
