// The part of ServiceCall that describes a call for the log.
#include <dispatch/Restriction.h>
#include <engine/ServiceCall.h>

namespace sapphirewind::engine {

namespace {

/// Limit on the servers of one call in the log, as a service may have dozens.
constexpr Json::ArrayIndex kMaxLoggedServers = 8;

} // namespace

bool
ServiceCall::ShouldLog() const
{
  return this->state != State::Answered || this->triedServers.size() > 1;
}

void
ServiceCall::DescribeServers(Json::Value& aCall) const
{
  base::Instant now = base::Now();
  const UpstreamPool::Servers& servers =
    this->options.context.upstreams.ServersOf(this->options.service);
  aCall["servers"] = Json::UInt64(servers.size());
  aCall["avoided"] = Json::Value(Json::arrayValue);
  for (const auto& server : servers) {
    dispatch::Restriction restriction = dispatch::RestrictionOf(server->State(), now);
    bool isLogged =
      restriction != dispatch::Restriction::None && aCall["avoided"].size() < kMaxLoggedServers;
    if (!isLogged) {
      continue;
    }
    Json::Value avoided;
    avoided["server"] = server->Description().id;
    avoided["why"] = dispatch::NameOf(restriction);
    if (std::optional<base::Instant> since =
          dispatch::RestrictedSince(server->State(), restriction)) {
      avoided["for_ms"] = Json::Int64(base::ToMillis(now - *since));
    }
    aCall["avoided"].append(avoided);
  }
}

Json::Value
ServiceCall::Describe() const
{
  Json::Value call;
  call["service"] = this->options.service;
  call["answered"] = this->state == State::Answered;
  call["held_back"] = this->withheldAttempts;
  this->DescribeServers(call);
  call["tries"] = Json::Value(Json::arrayValue);
  for (const TriedServer& tried : this->triedServers) {
    Json::Value entry;
    entry["server"] = tried.server->Description().id;
    entry["at_ms"] =
      Json::Int64(base::ToMillis(tried.firstSentAt - this->options.request->receivedAt));
    entry["expected_ms"] = Json::Int64(base::ToMillis(tried.expected));
    entry["end"] = tried.outcome ? dispatch::NameOf(*tried.outcome) : "open";
    call["tries"].append(entry);
  }
  return call;
}

} // namespace sapphirewind::engine
