#include <dispatch/LeavingServers.h>

#include <algorithm>

namespace sapphirewind::dispatch {

namespace {

void
ForgetFirstUnlisted(LeavingServers& aServers)
{
  auto isEarlier = [](const auto& aLeft, const auto& aRight) {
    base::Instant listed = base::Instant::max();
    return aLeft.second.unlistedSince.value_or(listed) <
           aRight.second.unlistedSince.value_or(listed);
  };
  aServers.records.erase(
    std::min_element(aServers.records.begin(), aServers.records.end(), isEarlier));
}

} // namespace

Leaving
OnServerLeaving(LeavingServers& aServers, const ServerStart& aStart, base::Instant aNow)
{
  if (std::optional<Leaving> known = FindLeaving(aServers, aStart)) {
    return *known;
  }
  if (aServers.records.size() >= kMaxLeavingServers) {
    ForgetFirstUnlisted(aServers);
  }
  Leaving leaving{ .since = aNow, .usableUntil = aNow + aServers.servingTime };
  aServers.records.emplace(aStart, LeavingServers::Record{ .leaving = leaving });
  return leaving;
}

std::optional<Leaving>
FindLeaving(const LeavingServers& aServers, const ServerStart& aStart)
{
  auto found = aServers.records.find(aStart);
  return found == aServers.records.end() ? std::nullopt : std::optional(found->second.leaving);
}

void
SetListed(LeavingServers& aServers, const std::set<ServerStart>& aListed, base::Instant aNow)
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
ForgetUnlisted(LeavingServers& aServers, base::Instant aNow)
{
  std::erase_if(aServers.records, [aNow](const auto& aEntry) {
    const auto& [start, record] = aEntry;
    base::Duration retention = start.startedAtMs == 0 ? base::Duration(0) : kLeavingRetention;
    return record.unlistedSince && aNow - *record.unlistedSince >= retention;
  });
}

} // namespace sapphirewind::dispatch
