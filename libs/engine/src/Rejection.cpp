#include "Rejection.h"

#include <telemetry/Events.h>

namespace sapphirewind::engine {

HttpResponse
Reject(EngineContext& aContext, const Rejection& aRejection)
{
  bool isRefusal = aRejection.status == http::status::service_unavailable;
  aContext.metrics.Count(isRefusal ? Counter::RefusedNotRun : Counter::BadRequest);
  telemetry::Log(telemetry::Event::RequestRejected,
                 { { "request", aRejection.requestId },
                   { "status", static_cast<unsigned>(aRejection.status) },
                   { "why", aRejection.why },
                   { "version", aRejection.version },
                   { "about", aRejection.subject } });
  return isRefusal
           ? MakeRefusalResponse(dispatch::RequestFailure::NotExecuted, aRejection.retryAfter)
           : MakeLocalResponse(aRejection.status, aRejection.why);
}

} // namespace sapphirewind::engine
