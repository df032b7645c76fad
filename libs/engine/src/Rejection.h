/// @file Rejects requests that are not sent to any server.
#pragma once

#include <engine/RequestHandler.h>

namespace sapphirewind::engine {

struct Rejection
{
  http::status status = http::status::bad_request;
  /// Logged, and sent as the body of every response but a 503.
  std::string why;
  /// Empty when the request could not be parsed.
  std::string requestId;
  /// The configuration version that applied; 0 for none.
  uint64_t version = 0;
  /// The request's target or fingerprint.
  std::string subject;
  /// For a 503 response, which states that the request was not executed.
  base::Duration retryAfter{ 0 };
};

/// Counts and logs a rejection and creates its response.
HttpResponse
Reject(EngineContext& aContext, const Rejection& aRejection);

} // namespace sapphirewind::engine
