#include "Checks.h"

#include <algorithm>
#include <document/Document.h>
#include <model/Peer.h>
#include <set>

namespace sapphirewind::test {

namespace {

std::string
Describe(const load::Sample& aSample)
{
  return aSample.requestId + " (status " + std::to_string(aSample.status) + ", outcome " +
         model::ToText(aSample.outcome) + ", error " + aSample.error + ")";
}

/// The shards that an answer states to cover, or nothing if its coverage is inconsistent.
std::optional<std::vector<std::string>>
CoveredShards(const Json::Value& aBody, const model::Snapshot& aSnapshot)
{
  std::set<std::string> covered;
  for (const model::ShardLocation& place : aSnapshot.shards) {
    covered.insert(place.shard);
  }
  const Json::Value& coverage = aBody["coverage"];
  if (coverage["total"].asUInt64() != covered.size()) {
    return std::nullopt;
  }
  for (const Json::Value& missing : coverage["missing"]) {
    if (covered.erase(missing.asString()) == 0) {
      return std::nullopt;
    }
  }
  if (coverage["answered"].asUInt64() != covered.size()) {
    return std::nullopt;
  }
  return std::vector<std::string>(covered.begin(), covered.end());
}

std::string
FindViolation(const load::Sample& aSample, const std::vector<model::Snapshot>& aSnapshots)
{
  std::optional<Json::Value> body = document::ParseMessage(aSample.body);
  if (!body) {
    return "the answer is not valid JSON";
  }
  if ((*body)["request_id"].asString() != aSample.requestId) {
    return "the answer has the id of request " + (*body)["request_id"].asString();
  }
  auto snapshot =
    std::find_if(aSnapshots.begin(), aSnapshots.end(), [&](const model::Snapshot& aEntry) {
      return aEntry.id == aSample.snapshot;
    });
  if (snapshot == aSnapshots.end()) {
    return "unknown snapshot " + aSample.snapshot;
  }
  std::optional<std::vector<std::string>> covered = CoveredShards(*body, *snapshot);
  if (!covered) {
    return "the coverage is inconsistent";
  }
  std::vector<model::Hit> expected =
    fakes::ExpectedPage(aSample.query, aSample.snapshot, *covered, 0, 10);
  std::vector<model::Hit> got;
  for (const Json::Value& entry : (*body)["hits"]) {
    got.push_back(model::HitFromJson(entry).value_or(model::Hit{}));
  }
  return got == expected ? "" : "the hits differ from those of the covered shards";
}

} // namespace

Violations
CheckAnswersCorrect(const std::vector<load::Sample>& aSamples,
                    const std::vector<model::Snapshot>& aSnapshots)
{
  Violations violations;
  for (const load::Sample& sample : aSamples) {
    if (sample.booking || sample.snapshot.empty()) {
      continue;
    }
    std::string violation = FindViolation(sample, aSnapshots);
    if (!violation.empty()) {
      violations.push_back(Describe(sample) + ": " + violation);
    }
  }
  return violations;
}

Violations
CheckRefusedNotExecuted(const std::vector<load::Sample>& aSamples,
                        const fakes::UpstreamRecord& aRecord)
{
  Violations violations;
  for (const load::Sample& sample : aSamples) {
    const std::set<std::string>& ran =
      sample.booking ? aRecord.bookingRequests : aRecord.requestsStarted;
    if (sample.outcome == model::Outcome::NotRun && ran.count(sample.requestId)) {
      violations.push_back(Describe(sample) + ": answered not_run, but an upstream ran it");
    }
  }
  return violations;
}

Violations
CheckBookingsAtMostOnce(const std::vector<load::Sample>& aSamples,
                        const fakes::UpstreamRecord& aRecord)
{
  Violations violations;
  for (const auto& [key, count] : aRecord.bookingsByKey) {
    if (count > 1) {
      violations.push_back(key + " ran " + std::to_string(count) + " times");
    }
  }
  for (const load::Sample& sample : aSamples) {
    bool reportedRan = sample.booking && sample.outcome == model::Outcome::Ran;
    if (reportedRan && !aRecord.bookingsByKey.count(sample.idempotencyKey)) {
      violations.push_back(Describe(sample) + ": answered ran, but no upstream ran its key");
    }
  }
  return violations;
}

Violations
CheckAllAnswered(const std::vector<load::Sample>& aSamples)
{
  Violations violations;
  for (const load::Sample& sample : aSamples) {
    if (sample.status == 0) {
      violations.push_back(Describe(sample) + " was not answered");
    }
  }
  return violations;
}

} // namespace sapphirewind::test
