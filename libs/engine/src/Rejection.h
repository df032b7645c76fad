/// @file What a caller gets whose request is not sent to any server: counted, logged and answered.
#pragma once

#include <engine/RequestHandler.h>

namespace sapphirewind::engine {

struct Rejection
{
  http::status status = http::status::bad_request;
  std::string why;
  /// Empty when the request was not read that far.
  std::string requestId;
  /// The configuration that decided it; 0 for none.
  uint64_t version = 0;
  /// What the request asked for, or its fingerprint.
  std::string about;
  /// When the caller may come back, for a refusal that says that nothing ran.
  base::Duration retryAfter{ 0 };
};

/// Counts and logs a rejection and makes its answer.
HttpResponse
Reject(EngineContext& aContext, const Rejection& aRejection);

} // namespace sapphirewind::engine
