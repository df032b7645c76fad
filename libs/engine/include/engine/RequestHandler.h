/// @file Serves one request of a caller, from one service or from all shards of a query.
#pragma once

#include <engine/ServiceCall.h>
#include <functional>

namespace sapphirewind::engine {

/// A request in progress.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;

  /// Cancels all attempts, as the caller disconnected. The response callback is not called.
  virtual void Cancel() = 0;
};

using OnResponse = std::function<void(HttpResponse&&)>;

/// Starts serving a request. The callback is called exactly once unless the handler is cancelled,
/// and never from within this call.
std::shared_ptr<RequestHandler>
StartRequest(EngineContext& aContext,
             std::shared_ptr<const IncomingRequest> aRequest,
             OnResponse aOnResponse);

/// Creates the response for a refused request. Only a refusal that states that the request was not
/// executed has a Retry-After header.
HttpResponse
MakeRefusalResponse(dispatch::RequestFailure aRefusal, base::Duration aRetryAfter);

/// Creates a response that does not come from a server, with a short plain text.
HttpResponse
MakeLocalResponse(http::status aStatus, const std::string& aText);

} // namespace sapphirewind::engine
