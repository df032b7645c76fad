/// @file Calls to other instances: JSON-RPC over HTTP keep-alive connections.
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
  Unreachable = 1, ///< No connection, or refused with status 503: the call did not run.
  Lost,            ///< No answer after the call may have been sent; it may have run.
  Refused,         ///< The peer refused the call without running it.
  Malformed        ///< The peer's answer cannot be parsed; the call may have run.
};

std::error_code
make_error_code(PeerErrc aError);

struct CallOptions
{
  base::Duration timeout = std::chrono::seconds(1);
  /// Uses a new connection, so that a failure to connect proves that nothing was sent.
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

  /// The time of a peer's last answer to any call; the epoch if there was none.
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
