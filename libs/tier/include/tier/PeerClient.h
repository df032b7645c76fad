/// @file Calls to other instances: JSON-RPC over kept-alive HTTP connections.
#pragma once

#include <base/Result.h>
#include <base/Time.h>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <net/Connection.h>
#include <string>

namespace sapphirewind::tier {

/// Why a call to a peer failed.
enum class PeerErrc
{
  Unreachable = 1, ///< No connection: the peer never saw the call.
  Lost,            ///< The call may have run.
  Refused,         ///< The peer answered that it did not take the call.
  Malformed        ///< The peer's answer cannot be read; the call may have run.
};

std::error_code
make_error_code(PeerErrc aError);

struct CallOptions
{
  base::Duration timeout = std::chrono::seconds(1);
  /// On a connection that has carried nothing yet, so that a failure to connect proves that nothing
  /// was sent.
  bool newConnection = false;
};

/// Thread-safe.
class PeerClient
{
public:
  /// Errors: see PeerErrc.
  base::Result<Json::Value> Call(const std::string& aAddress,
                                 const std::string& aMethod,
                                 const Json::Value& aParameters,
                                 const CallOptions& aOptions);

  /// When a peer last answered anything; the epoch when it never did.
  base::Instant LastAnswer(const std::string& aAddress) const;

private:
  struct Peer
  {
    explicit Peer(net::Endpoint aEndpoint);
    net::ConnectionPool pool;
    std::atomic<int64_t> lastAnswer{ 0 };
  };
  Peer* FindOrCreate(const std::string& aAddress);

  mutable std::mutex mutex;
  std::map<std::string, std::unique_ptr<Peer>> peers;
};

} // namespace sapphirewind::tier

template<>
struct std::is_error_code_enum<sapphirewind::tier::PeerErrc> : std::true_type
{
};
