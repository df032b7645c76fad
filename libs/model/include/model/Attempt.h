/// @file Messages between an instance and an upstream: one attempt for one group, and its response.
#pragma once

#include <base/Time.h>
#include <json/value.h>
#include <model/Search.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// One attempt. The response must echo its ids and its snapshot.
struct AttemptRequest
{
  std::string attemptId;
  std::string requestId;
  std::string group;
  std::string snapshot;
  std::vector<std::string> shards;
  std::string query;
  size_t top = 10; ///< The maximum number of hits.
  base::Duration remaining{ 0 };
};

/// An upstream's response, not yet validated.
struct AttemptResponse
{
  std::string attemptId;
  std::string requestId;
  std::string snapshot;
  std::vector<std::string> shards;
  std::vector<Hit> hits;
};

Json::Value
ToJson(const AttemptRequest& aRequest);
std::optional<AttemptRequest>
AttemptRequestFromJson(const Json::Value& aValue);
Json::Value
ToJson(const AttemptResponse& aResponse);
std::optional<AttemptResponse>
AttemptResponseFromJson(const Json::Value& aValue);

/// Why the response does not belong to the request; empty if it does.
std::optional<std::string>
FindMismatch(const AttemptRequest& aRequest, const AttemptResponse& aResponse);

/// Removes shards that were not requested, and hits that belong to none of the remaining shards.
AttemptResponse
FilterToRequested(const AttemptRequest& aRequest, AttemptResponse aResponse);

/// The header with an attempt's remaining time in milliseconds.
inline constexpr const char* kDeadlineHeader = "X-Deadline-Ms";
/// The header with which an upstream reports that it is draining.
inline constexpr const char* kDrainingHeader = "X-Draining";
/// The header with which an upstream reports its load as requests in flight divided by slots.
inline constexpr const char* kLoadHeader = "X-Load";

} // namespace sapphirewind::model
