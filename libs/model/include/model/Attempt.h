/// @file Messages to an upstream: one attempt at one group's part, and its answer.
#pragma once

#include <base/Time.h>
#include <json/value.h>
#include <model/Search.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// One attempt. Its id is echoed by the answer.
struct AttemptRequest
{
  std::string attemptId;
  std::string requestId;
  std::string group;
  std::string snapshot;
  std::vector<std::string> shards;
  std::string query;
  size_t top = 10;
  base::Duration remaining{ 0 };
};

/// An upstream's answer, as it claims.
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
ToJson(const AttemptResponse& aAnswer);
std::optional<AttemptResponse>
AttemptResponseFromJson(const Json::Value& aValue);

/// What is wrong with an answer as an answer to that request; empty when it may be used.
std::optional<std::string>
FindMismatch(const AttemptRequest& aRequest, const AttemptResponse& aAnswer);

/// The answer's shards that were asked for, with the hits of those shards only.
AttemptResponse
FilterToRequested(const AttemptRequest& aRequest, AttemptResponse aAnswer);

/// The header that carries an attempt's remaining time in milliseconds.
inline constexpr const char* kDeadlineHeader = "X-Deadline-Ms";
/// The header with which an upstream says that it is leaving.
inline constexpr const char* kDrainingHeader = "X-Draining";
/// The header with which an upstream reports its load as work in flight over its slots.
inline constexpr const char* kLoadHeader = "X-Load";

} // namespace sapphirewind::model
