#include <quarantine/Quarantine.h>

#include <algorithm>
#include <base/Random.h>

namespace sapphirewind::quarantine {

Fingerprint
FingerprintOf(const std::string& aService, const std::string& aQuery)
{
  return base::HashMore(base::Hash64(aService), aQuery);
}

Standing
StandingOf(const Register& aRegister, Fingerprint aFingerprint, base::Instant aNow)
{
  auto found = aRegister.records.find(aFingerprint);
  if (found == aRegister.records.end()) {
    return Standing::Clear;
  }
  if (aNow < found->second.condemnedUntil) {
    return Standing::Condemned;
  }
  return aNow < found->second.suspectUntil ? Standing::Suspect : Standing::Clear;
}

namespace {

void
MakeRoom(Register& aRegister)
{
  if (aRegister.records.size() < kMostRecords) {
    return;
  }
  auto oldest = std::min_element(
    aRegister.records.begin(), aRegister.records.end(), [](const auto& aLeft, const auto& aRight) {
      return std::max(aLeft.second.suspectUntil, aLeft.second.condemnedUntil) <
             std::max(aRight.second.suspectUntil, aRight.second.condemnedUntil);
    });
  aRegister.records.erase(oldest);
}

} // namespace

Standing
OnServerLost(Register& aRegister,
             Fingerprint aFingerprint,
             const std::string& aServer,
             bool aRanAlone,
             base::Instant aNow)
{
  Standing before = StandingOf(aRegister, aFingerprint, aNow);
  if (before == Standing::Clear) {
    MakeRoom(aRegister);
  }
  Record& record = aRegister.records[aFingerprint];
  bool second = before == Standing::Suspect && aRanAlone && record.firstLost != aServer;
  if (before == Standing::Clear) {
    record.firstLost = aServer;
  }
  if (second) {
    record.condemnedUntil = aNow + kCondemnedTime;
  }
  record.suspectUntil = aNow + kSuspectTime;
  record.lostAt = aNow;
  return StandingOf(aRegister, aFingerprint, aNow);
}

void
OnAnswered(Register& aRegister, Fingerprint aFingerprint)
{
  aRegister.records.erase(aFingerprint);
}

void
OnPeerCondemned(Register& aRegister,
                Fingerprint aFingerprint,
                base::Duration aRemaining,
                base::Instant aNow)
{
  MakeRoom(aRegister);
  Record& record = aRegister.records[aFingerprint];
  base::Duration remaining = std::min(aRemaining, base::Duration(kCondemnedTime));
  // Heard again and again while it lasts; only the first time is news.
  if (aNow >= record.condemnedUntil) {
    record.lostAt = aNow;
  }
  record.condemnedUntil = std::max(record.condemnedUntil, aNow + remaining);
}

void
OnPeerSuspect(Register& aRegister,
              Fingerprint aFingerprint,
              const std::string& aServer,
              base::Instant aNow)
{
  if (StandingOf(aRegister, aFingerprint, aNow) == Standing::Clear) {
    OnServerLost(aRegister, aFingerprint, aServer, false, aNow);
  }
}

std::vector<Condemned>
ListCondemned(const Register& aRegister, base::Instant aNow)
{
  std::vector<Condemned> list;
  for (const auto& [fingerprint, record] : aRegister.records) {
    if (aNow < record.condemnedUntil) {
      list.push_back(
        Condemned{ .fingerprint = fingerprint, .remaining = record.condemnedUntil - aNow });
    }
  }
  return list;
}

bool
IsAlarmed(const Register& aRegister, base::Instant aNow)
{
  return std::any_of(aRegister.records.begin(), aRegister.records.end(), [&](const auto& aEntry) {
    return aNow < aEntry.second.lostAt + kAlarmTime;
  });
}

void
Expire(Register& aRegister, base::Instant aNow)
{
  std::erase_if(aRegister.records, [&](const auto& aEntry) {
    return aNow >= aEntry.second.suspectUntil && aNow >= aEntry.second.condemnedUntil;
  });
}

} // namespace sapphirewind::quarantine
