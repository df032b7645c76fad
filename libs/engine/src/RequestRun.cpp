#include <engine/RequestRun.h>

#include <fmt/format.h>

#include "GatherRun.h"
#include "PlainRun.h"

namespace sapphirewind::engine {

std::shared_ptr<RequestRun>
StartRun(EngineContext& aContext,
         std::shared_ptr<const IncomingRequest> aRequest,
         OnResponse aOnResponse)
{
  if (aRequest->route->IsQuery()) {
    auto run = std::make_shared<GatherRun>(aContext, aRequest, std::move(aOnResponse));
    run->Start();
    return run;
  }
  auto run = std::make_shared<PlainRun>(aContext, aRequest, std::move(aOnResponse));
  run->Start();
  return run;
}

HttpResponse
MakeOwnAnswer(http::status aStatus, const std::string& aText)
{
  HttpResponse response(aStatus, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = aText + "\n";
  response.prepare_payload();
  return response;
}

HttpResponse
MakeRefusal(dispatch::RequestFailure aRefusal, base::Duration aRetryAfter)
{
  switch (aRefusal) {
    case dispatch::RequestFailure::OutcomeUnknown:
      return MakeOwnAnswer(http::status::bad_gateway, "no upstream answered; it may have run");
    case dispatch::RequestFailure::TimedOut:
      return MakeOwnAnswer(http::status::gateway_timeout, "no upstream answered in time");
    case dispatch::RequestFailure::NotExecuted:
      break;
  }
  HttpResponse response = MakeOwnAnswer(http::status::service_unavailable, "not run; try again");
  double seconds = base::ToFractionalMillis(aRetryAfter) / 1000.0;
  response.set(http::field::retry_after, fmt::format("{:.3f}", seconds));
  return response;
}

} // namespace sapphirewind::engine
