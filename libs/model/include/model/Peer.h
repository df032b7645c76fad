/// @file Messages between instances: the part of a query or a booking that is sent to the instance
/// that owns its groups, and the response.
#pragma once

#include <base/Time.h>
#include <json/value.h>
#include <model/Search.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// The requested shards of one group.
struct GroupTask
{
  std::string group;
  std::vector<std::string> shards;

  bool operator==(const GroupTask&) const = default;
};

/// The scheduling parameters of a request class, sent along with each task.
struct ClassPolicy
{
  std::string className;
  Rank rank = Rank::Everyday;
  /// The share of the service's capacity that is guaranteed to the class under overload.
  double guaranteedShare = 0.0;

  bool operator==(const ClassPolicy&) const = default;
};

/// A query for groups that are all owned by one instance.
struct ScatterRequest
{
  std::string requestId;
  std::string service;
  std::string snapshot;
  std::string query;
  size_t top = 10; ///< The maximum number of hits.
  ClassPolicy policy;
  /// The time until the deadline, at the time of sending.
  base::Duration remaining{ 0 };
  /// The first attempt of a request that no upstream has answered yet. Equal requests wait until it
  /// ends.
  bool canary = false;
  std::vector<GroupTask> groups;

  bool operator==(const ScatterRequest&) const = default;
};

/// The result of one group.
struct GroupResult
{
  std::string group;
  Outcome outcome = Outcome::NotRun;
  /// Shards whose complete result is in the merged hits.
  std::vector<std::string> shards;
  std::optional<Errc> error;
  /// How long the task waited for a slot.
  base::Duration queueWait{ 0 };

  bool operator==(const GroupResult&) const = default;
};

struct ScatterResponse
{
  std::vector<GroupResult> groups;
  std::vector<Hit> hits;

  bool operator==(const ScatterResponse&) const = default;
};

/// A booking for the owner of its group. Its idempotency key is claimed, and it may be sent to an
/// upstream at most once.
struct BookingTask
{
  std::string requestId;
  std::string service;
  std::string group;
  std::string key;
  std::string body;
  ClassPolicy policy;
  base::Duration remaining{ 0 };

  bool operator==(const BookingTask&) const = default;
};

struct BookingResult
{
  Outcome outcome = Outcome::NotRun;
  std::string receipt;
  std::optional<Errc> error;

  bool operator==(const BookingResult&) const = default;
};

Json::Value
ToJson(const Hit& aHit);
std::optional<Hit>
HitFromJson(const Json::Value& aValue);
Json::Value
ToJson(const std::vector<Hit>& aHits);

Json::Value
ToJson(const ScatterRequest& aRequest);
std::optional<ScatterRequest>
ScatterRequestFromJson(const Json::Value& aValue);

Json::Value
ToJson(const ScatterResponse& aResponse);
std::optional<ScatterResponse>
ScatterResponseFromJson(const Json::Value& aValue);

Json::Value
ToJson(const BookingTask& aTask);
std::optional<BookingTask>
BookingTaskFromJson(const Json::Value& aValue);

Json::Value
ToJson(const BookingResult& aResult);
std::optional<BookingResult>
BookingResultFromJson(const Json::Value& aValue);

} // namespace sapphirewind::model
