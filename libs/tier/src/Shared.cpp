#include <tier/Shared.h>

#include <telemetry/Events.h>

#include <algorithm>
#include <base/Random.h>

namespace sapphirewind::tier {

namespace {
constexpr size_t kHarmlessPerGeneration = 50'000;
}

quarantine::QuarantineState
SharedQuarantine::StandingOf(quarantine::Fingerprint aFingerprint, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return quarantine::StateOf(this->reg, aFingerprint, aNow);
}

quarantine::QuarantineState
SharedQuarantine::OnServerLost(quarantine::Fingerprint aFingerprint,
                               const std::string& aServer,
                               bool aRanAlone,
                               base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->harmlessYoung.erase(aFingerprint);
  this->harmlessOld.erase(aFingerprint);
  quarantine::QuarantineState standing =
    quarantine::OnServerLost(this->reg, aFingerprint, aServer, aRanAlone, aNow);
  bool condemned = standing == quarantine::QuarantineState::Quarantined;
  telemetry::Log(condemned ? telemetry::Event::RequestCondemned : telemetry::Event::RequestSuspect,
                 { { "fingerprint", base::ToHex(aFingerprint) }, { "server", aServer } });
  return standing;
}

void
SharedQuarantine::OnAnswered(quarantine::Fingerprint aFingerprint, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (quarantine::StateOf(this->reg, aFingerprint, aNow) == quarantine::QuarantineState::Suspect) {
    quarantine::OnAnswered(this->reg, aFingerprint);
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
SharedQuarantine::OnPeerCondemned(const quarantine::QuarantinedRequest& aCondemned,
                                  base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  quarantine::OnPeerQuarantined(this->reg, aCondemned.fingerprint, aCondemned.remaining, aNow);
}

std::vector<quarantine::QuarantinedRequest>
SharedQuarantine::ListCondemned(base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return quarantine::ListQuarantined(this->reg, aNow);
}

bool
SharedQuarantine::IsAlarmed(base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return quarantine::HasRecentLoss(this->reg, aNow);
}

void
SharedQuarantine::Expire(base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  quarantine::RemoveExpired(this->reg, aNow);
}

bool
SharedQuarantine::IsKnownHarmless(quarantine::Fingerprint aFingerprint) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->harmlessYoung.count(aFingerprint) || this->harmlessOld.count(aFingerprint);
}

bool
LeavingServers::Note(const std::string& aServer, base::Duration aRemaining, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  base::Instant end = aNow + std::min(aRemaining, base::Duration(kLeavingTime));
  auto [entry, added] = this->until.try_emplace(aServer, end);
  bool news = added || entry->second <= aNow;
  entry->second = std::max(entry->second, end);
  return news;
}

bool
LeavingServers::IsLeaving(const std::string& aServer, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->until.find(aServer);
  return found != this->until.end() && aNow < found->second;
}

std::vector<LeavingServer>
LeavingServers::List(base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<LeavingServer> list;
  for (const auto& [server, end] : this->until) {
    if (aNow < end) {
      list.push_back(LeavingServer{ .server = server, .remaining = end - aNow });
    }
  }
  return list;
}

} // namespace sapphirewind::tier
