#include "UpstreamChecks.h"

namespace sapphirewind::test {

namespace {

using Arrival = fakes::SearchServer::Arrival;

/// When each instance first passed on an answer of a start of a server which said that it leaves.
std::map<std::string, base::Instant>
FirstAnswersPassedOn(const std::vector<Arrival>& aArrivals,
                     const std::string& aServer,
                     const LoadResult& aResult)
{
  std::map<std::string, base::Instant> passedOn;
  for (const Arrival& arrival : aArrivals) {
    auto sent = aResult.sent.find(arrival.id);
    bool wasPassedOn =
      arrival.saidLeaving && sent != aResult.sent.end() && sent->second.answeredBy == aServer;
    if (!wasPassedOn) {
      continue;
    }
    auto [first, isNew] = passedOn.emplace(sent->second.instance, sent->second.endedAt);
    first->second = std::min(first->second, sent->second.endedAt);
  }
  return passedOn;
}

void
CheckStart(const ProcessCluster& aCluster,
           const std::string& aServer,
           const std::vector<Arrival>& aArrivals,
           LoadResult& aResult)
{
  std::map<std::string, base::Instant> passedOn = FirstAnswersPassedOn(aArrivals, aServer, aResult);
  for (const Arrival& arrival : aArrivals) {
    auto sent = aResult.sent.find(arrival.id);
    if (sent == aResult.sent.end() || passedOn.count(sent->second.instance) == 0) {
      continue;
    }
    base::Instant since = passedOn[sent->second.instance];
    base::Duration late = sent->second.sentAt - since - ProcessCluster::kDrain;
    bool isViolation = late > base::Duration(0) &&
                       !aCluster.WasDisturbed(sent->second.instance, since, sent->second.sentAt);
    if (isViolation) {
      aResult.violations.push_back(
        aServer + " got request " + arrival.id + " from " + sent->second.instance + ", sent " +
        std::to_string(base::ToMillis(late)) + " ms after the time to leave it alone");
    }
  }
}

} // namespace

void
CheckLeavingServers(const ProcessCluster& aCluster, LoadResult& aResult)
{
  for (const RelayedServer& server : aCluster.servers) {
    std::map<int64_t, std::vector<Arrival>> byStart;
    for (const Arrival& arrival : server.server->AllArrivals()) {
      byStart[arrival.born].push_back(arrival);
    }
    for (const auto& [born, arrivals] : byStart) {
      CheckStart(aCluster, server.server->Id(), arrivals, aResult);
    }
  }
}

} // namespace sapphirewind::test
