#include <engine/RequestHandler.h>

#include <fmt/format.h>

#include "PlainRequestHandler.h"
#include "ScatterGatherHandler.h"

namespace sapphirewind::engine {

std::shared_ptr<RequestHandler>
StartRequest(EngineContext& aContext,
             std::shared_ptr<const IncomingRequest> aRequest,
             OnResponse aOnResponse)
{
  if (aRequest->route->IsQuery()) {
    auto run = std::make_shared<ScatterGatherHandler>(aContext, aRequest, std::move(aOnResponse));
    run->Start();
    return run;
  }
  auto run = std::make_shared<PlainRequestHandler>(aContext, aRequest, std::move(aOnResponse));
  run->Start();
  return run;
}

HttpResponse
MakeLocalResponse(http::status aStatus, const std::string& aText)
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = aText + "\n";
  response.prepare_payload();
  return response;
}

HttpResponse
MakeRefusalResponse(dispatch::Refusal aRefusal, base::Duration aRetryAfter)
{
  switch (aRefusal) {
    case dispatch::Refusal::Unknown:
      return MakeLocalResponse(http::status::bad_gateway, "no upstream answered; it may have run");
    case dispatch::Refusal::TimedOut:
      return MakeLocalResponse(http::status::gateway_timeout, "no upstream answered in time");
    case dispatch::Refusal::NotRun:
      break;
  }
  HttpResponse response =
    MakeLocalResponse(http::status::service_unavailable, "not run; try again");
  double seconds = base::ToFractionalMillis(aRetryAfter) / 1000.0;
  response.set(http::field::retry_after, fmt::format("{:.3f}", seconds));
  return response;
}

} // namespace sapphirewind::engine
