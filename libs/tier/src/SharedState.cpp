#include <tier/SharedState.h>

#include <telemetry/Events.h>

#include <algorithm>
#include <base/Random.h>

namespace sapphirewind::tier {

namespace {
constexpr size_t kHarmlessPerGeneration = 50'000;
}

quarantine::QuarantineState
SharedQuarantine::StateOf(quarantine::Fingerprint aFingerprint, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return quarantine::StateOf(this->table, aFingerprint, aNow);
}

quarantine::QuarantineState
SharedQuarantine::OnServerLost(quarantine::Fingerprint aFingerprint,
                               const std::string& aServer,
                               bool aRanIsolated,
                               base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->harmlessYoung.erase(aFingerprint);
  this->harmlessOld.erase(aFingerprint);
  quarantine::QuarantineState state =
    quarantine::OnServerLost(this->table, aFingerprint, { .id = aServer }, aRanIsolated, aNow);
  bool quarantined = state == quarantine::QuarantineState::Quarantined;
  telemetry::Log(quarantined ? telemetry::Event::RequestCondemned
                             : telemetry::Event::RequestSuspect,
                 { { "fingerprint", base::ToHex(aFingerprint) }, { "server", aServer } });
  return state;
}

void
SharedQuarantine::OnAnswered(quarantine::Fingerprint aFingerprint, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (quarantine::StateOf(this->table, aFingerprint, aNow) ==
      quarantine::QuarantineState::Suspect) {
    quarantine::OnAnswered(this->table, aFingerprint);
    telemetry::Log(telemetry::Event::RequestCleared,
                   { { "fingerprint", base::ToHex(aFingerprint) } });
  }
  if (this->harmlessYoung.size() >= kHarmlessPerGeneration) {
    this->harmlessOld = std::move(this->harmlessYoung);
    this->harmlessYoung.clear();
  }
  this->harmlessYoung.insert(aFingerprint);
}

void
SharedQuarantine::OnPeerQuarantined(const quarantine::QuarantinedRequest& aQuarantined,
                                    base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  quarantine::OnPeerQuarantined(
    this->table, aQuarantined.fingerprint, aQuarantined.remaining, aNow);
}

std::vector<quarantine::QuarantinedRequest>
SharedQuarantine::ListQuarantined(base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return quarantine::ListQuarantined(this->table, aNow);
}

bool
SharedQuarantine::HasRecentLoss(base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return quarantine::HasRecentLoss(this->table, aNow);
}

void
SharedQuarantine::RemoveExpired(base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  quarantine::RemoveExpired(this->table, aNow);
}

bool
SharedQuarantine::IsKnownHarmless(quarantine::Fingerprint aFingerprint) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->harmlessYoung.count(aFingerprint) || this->harmlessOld.count(aFingerprint);
}

bool
LeavingServers::MarkLeaving(const std::string& aServer,
                            base::Duration aRemaining,
                            base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  base::Instant end = aNow + std::min(aRemaining, base::Duration(kLeavingTtl));
  auto [entry, added] = this->leavingUntil.try_emplace(aServer, end);
  bool isNew = added || entry->second <= aNow;
  entry->second = std::max(entry->second, end);
  return isNew;
}

bool
LeavingServers::IsLeaving(const std::string& aServer, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->leavingUntil.find(aServer);
  return found != this->leavingUntil.end() && aNow < found->second;
}

std::vector<LeavingServer>
LeavingServers::List(base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<LeavingServer> list;
  for (const auto& [server, end] : this->leavingUntil) {
    if (aNow < end) {
      list.push_back(LeavingServer{ .server = server, .remaining = end - aNow });
    }
  }
  return list;
}

} // namespace sapphirewind::tier
