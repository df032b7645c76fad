/// @file JSON-RPC 2.0 between instances, by libjsonrpccpp. That library's headers do not compile as
/// C++17 or later, so this header is plain C++14 and hides it.
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
  Transport, ///< The exchange did not bring an answer.
  Refused,   ///< The peer answered with a JSON-RPC error.
  Malformed  ///< The peer's answer was not JSON-RPC.
};

/// The outcome of a call. The JSON-RPC code and text are set when the status is Refused.
struct CallOutcome
{
  CallStatus status = CallStatus::Transport;
  Json::Value result;
  int code = 0;
  std::string detail;
};

/// Carries a request text to the peer and brings back its answer; false when none came.
using Exchange = std::function<bool(const std::string& aRequest, std::string& aAnswer)>;

/// Calls a procedure by name.
CallOutcome
Call(const std::string& aMethod, const Json::Value& aParameters, const Exchange& aExchange);

/// Thrown by a procedure that does not take a call; the caller sees a JSON-RPC error.
struct CallRefused : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Answers calls. Register everything before the first Handle, which is safe from many threads.
class Dispatcher
{
public:
  using Procedure = std::function<Json::Value(const Json::Value& aParameters)>;

  Dispatcher();
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void Register(const std::string& aMethod, Procedure aProcedure);

  /// The answer's text for a request's text; malformed requests get the standard error.
  std::string Handle(const std::string& aRequest);

private:
  struct Bridge;
  std::unique_ptr<Bridge> bridge;
};

} // namespace rpc
} // namespace sapphirewind
