/// @file Serves one request of a caller: at one upstream, or at one of each shard.
#pragma once

#include <engine/ServiceCall.h>
#include <functional>

namespace sapphirewind::engine {

/// A request under way.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;

  /// The caller left: closes everything that is under way. No answer is given any more.
  virtual void Cancel() = 0;
};

using OnResponse = std::function<void(HttpResponse&&)>;

/// Starts a request on a route. The answer comes exactly once unless the run is cancelled, and
/// never from within this call.
std::shared_ptr<RequestHandler>
StartRequest(EngineContext& aContext,
             std::shared_ptr<const IncomingRequest> aRequest,
             OnResponse aOnResponse);

/// A refusal of our own. A retry time is stated for those that say the request did not run.
HttpResponse
MakeRefusalResponse(dispatch::RequestFailure aRefusal, base::Duration aRetryAfter);

/// An answer of our own with a short text.
HttpResponse
MakeLocalResponse(http::status aStatus, const std::string& aText);

} // namespace sapphirewind::engine
