#include <dispatch/ServerStatements.h>

#include <algorithm>

namespace sapphirewind::dispatch {

namespace {

void
ForgetFirstUnlisted(ServerStatements& aServers)
{
  auto isEarlier = [](const auto& aLeft, const auto& aRight) {
    base::Instant listed = base::Instant::max();
    return aLeft.second.unlistedSince.value_or(listed) <
           aRight.second.unlistedSince.value_or(listed);
  };
  aServers.records.erase(
    std::min_element(aServers.records.begin(), aServers.records.end(), isEarlier));
}

ServerStatement&
StatementOf(ServerStatements& aServers, const directory::ServerStart& aStart)
{
  auto found = aServers.records.find(aStart);
  if (found == aServers.records.end()) {
    if (aServers.records.size() >= kMaxStatements) {
      ForgetFirstUnlisted(aServers);
    }
    found = aServers.records.emplace(aStart, ServerStatements::Record{}).first;
  }
  return found->second.statement;
}

} // namespace

Leaving
OnServerLeaving(ServerStatements& aServers,
                const directory::ServerStart& aStart,
                base::Instant aNow)
{
  std::optional<Leaving>& leaving = StatementOf(aServers, aStart).leaving;
  if (!leaving) {
    leaving = Leaving{ .since = aNow, .usableUntil = aNow + aServers.servingTime };
  }
  return *leaving;
}

std::optional<Hold>
OnServerHeld(ServerStatements& aServers,
             const directory::ServerStart& aStart,
             base::Duration aFor,
             base::Instant aNow)
{
  if (aFor <= base::Duration(0)) {
    return FindStatement(aServers, aStart).hold;
  }
  std::optional<Hold>& hold = StatementOf(aServers, aStart).hold;
  bool isHeld = hold && aNow < hold->until;
  base::Instant until = aNow + std::min<base::Duration>(aFor, kMaxHold);
  if (!isHeld) {
    hold = Hold{ .since = aNow, .until = until };
  }
  hold->until = std::max(hold->until, until);
  return hold;
}

ServerStatement
FindStatement(const ServerStatements& aServers, const directory::ServerStart& aStart)
{
  auto found = aServers.records.find(aStart);
  return found == aServers.records.end() ? ServerStatement{} : found->second.statement;
}

void
SetListed(ServerStatements& aServers,
          const std::set<directory::ServerStart>& aListed,
          base::Instant aNow)
{
  for (auto& [start, record] : aServers.records) {
    if (aListed.count(start) > 0) {
      record.unlistedSince.reset();
    } else if (!record.unlistedSince) {
      record.unlistedSince = aNow;
    }
  }
}

void
ForgetOutdated(ServerStatements& aServers, base::Instant aNow)
{
  for (auto& [start, record] : aServers.records) {
    std::optional<Hold>& hold = record.statement.hold;
    if (hold && aNow >= hold->until + kHoldRetention) {
      hold.reset();
    }
  }
  std::erase_if(aServers.records, [aNow](const auto& aEntry) {
    const auto& [start, record] = aEntry;
    base::Duration retention = start.startedAtMs == 0 ? base::Duration(0) : kStatementRetention;
    bool isUnlisted = record.unlistedSince && aNow - *record.unlistedSince >= retention;
    return isUnlisted || record.statement == ServerStatement{};
  });
}

} // namespace sapphirewind::dispatch
