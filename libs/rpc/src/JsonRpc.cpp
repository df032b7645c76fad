#include <rpc/JsonRpc.h>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>
#include <map>
#include <mutex>

namespace sapphirewind {
namespace rpc {

namespace {

/// In the range that JSON-RPC reserves for server errors (-32000 to -32099).
constexpr int kCallRefusedCode = -32010;

/// Adapts an Exchange to the connector interface of the client library.
struct ExchangeConnector final : jsonrpc::IClientConnector
{
  explicit ExchangeConnector(const Exchange& aExchange)
    : exchange(aExchange)
  {
  }

  void SendRPCMessage(const std::string& aMessage,
                      std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    if (!this->exchange(aMessage, aResult)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no response");
    }
  }

  const Exchange& exchange;
};

CallStatus
StatusOf(int aCode)
{
  if (aCode == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR) {
    return CallStatus::Transport;
  }
  if (aCode == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
      aCode == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR) {
    return CallStatus::Malformed;
  }
  return CallStatus::Refused;
}

} // namespace

CallOutcome
Call(const std::string& aMethod, const Json::Value& aParameters, const Exchange& aExchange)
{
  ExchangeConnector connector(aExchange);
  jsonrpc::Client client(connector);
  CallOutcome outcome;
  try {
    outcome.result = client.CallMethod(aMethod, aParameters);
    outcome.status = CallStatus::Ok;
  } catch (const jsonrpc::JsonRpcException& error) {
    outcome.status = StatusOf(error.GetCode());
    outcome.code = error.GetCode();
    outcome.detail = error.GetMessage();
  } catch (const Json::Exception& error) {
    outcome.status = CallStatus::Malformed;
    outcome.detail = error.what();
  }
  return outcome;
}

struct Dispatcher::Impl final : jsonrpc::IProcedureInvokationHandler
{
  Impl()
    : protocol(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
  {
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    try {
      aOutput = this->procedures.at(aProcedure.GetProcedureName())(aInput);
    } catch (const CallRefused& refusal) {
      throw jsonrpc::JsonRpcException(kCallRefusedCode, refusal.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  std::map<std::string, Procedure> procedures;
};

Dispatcher::Dispatcher()
  : impl(new Impl())
{
}

Dispatcher::~Dispatcher() = default;

void
Dispatcher::Register(const std::string& aMethod, Procedure aProcedure)
{
  this->impl->procedures[aMethod] = std::move(aProcedure);
  this->impl->protocol->AddProcedure(
    jsonrpc::Procedure(aMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
}

std::string
Dispatcher::Handle(const std::string& aRequest)
{
  std::string response;
  try {
    this->impl->protocol->HandleRequest(aRequest, response);
  } catch (const std::exception&) {
    response =
      R"({"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"malformed request"}})";
  }
  return response;
}

} // namespace rpc
} // namespace sapphirewind
