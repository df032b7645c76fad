/// @file JSON-RPC 2.0 client and dispatcher for calls between instances, based on libjsonrpccpp.
/// The headers of that library do not compile as C++17 or later, so this header is C++14 and hides
/// them.
#pragma once

#include <functional>
#include <json/value.h>
#include <memory>
#include <stdexcept>
#include <string>

namespace sapphirewind {
namespace rpc {

/// Why a call failed.
enum class CallStatus
{
  Ok,        ///< The peer's procedure ran and returned.
  Transport, ///< The transport returned no response.
  Refused,   ///< The peer responded with a JSON-RPC error.
  Malformed  ///< The peer's response was not valid JSON-RPC.
};

/// The outcome of a call. `code` and `detail` hold the JSON-RPC error if the status is Refused.
struct CallOutcome
{
  CallStatus status = CallStatus::Transport;
  Json::Value result;
  int code = 0;
  std::string detail;
};

/// Sends a serialized request to the peer and receives the response; false if there was none.
using Exchange = std::function<bool(const std::string& aRequest, std::string& aResponse)>;

/// Calls a procedure by name.
CallOutcome
Call(const std::string& aMethod, const Json::Value& aParameters, const Exchange& aExchange);

/// Thrown by a procedure to refuse a call; the calling side receives a JSON-RPC error.
struct CallRefused : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Dispatches calls to procedures. Register all procedures before the first Handle; Handle is
/// thread-safe.
class Dispatcher
{
public:
  using Procedure = std::function<Json::Value(const Json::Value& aParameters)>;

  Dispatcher();
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void Register(const std::string& aMethod, Procedure aProcedure);

  /// Runs the call in a serialized request and returns the serialized response, a JSON-RPC error if
  /// the request is malformed.
  std::string Handle(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace rpc
} // namespace sapphirewind
