/// @file Messages between instances: a batch of one query's groups for their owner, and its answer.
#pragma once

#include <base/Time.h>
#include <json/value.h>
#include <model/Search.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// The shards of one group that a query asks for.
struct GroupTask
{
  std::string group;
  std::vector<std::string> shards;

  bool operator==(const GroupTask&) const = default;
};

/// How a class is served, as its configuration states it; travels with its work.
struct ClassPolicy
{
  std::string className;
  Rank rank = Rank::Everyday;
  /// The share of the service's capacity that the class keeps in a flood.
  double guaranteedShare = 0.0;

  bool operator==(const ClassPolicy&) const = default;
};

/// One query's groups that one instance owns.
struct ScatterRequest
{
  std::string requestId;
  std::string service;
  std::string snapshot;
  std::string query;
  size_t top = 10;
  ClassPolicy policy;
  /// Time left when it was sent.
  base::Duration remaining{ 0 };
  /// The first try of a request that no upstream has answered yet; equal ones wait for its end.
  bool canary = false;
  std::vector<GroupTask> groups;

  bool operator==(const ScatterRequest&) const = default;
};

/// How one group's part ended.
struct GroupResult
{
  std::string group;
  Outcome outcome = Outcome::NotRun;
  /// Shards whose whole answer is in the merged hits.
  std::vector<std::string> shards;
  std::optional<Errc> error;
  /// Time its work waited for a slot.
  base::Duration queueWait{ 0 };

  bool operator==(const GroupResult&) const = default;
};

struct ScatterResponse
{
  std::vector<GroupResult> groups;
  std::vector<Hit> hits;

  bool operator==(const ScatterResponse&) const = default;
};

/// A booking for the owner of its group. It has been claimed; it may be sent to an upstream once.
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
ToJson(const ScatterResponse& aAnswer);
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
