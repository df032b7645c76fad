#include <quarantine/Quarantine.h>

#include <algorithm>
#include <base/Random.h>
#include <tuple>

namespace sapphirewind::quarantine {

Fingerprint
FingerprintOf(const std::string& aService, const std::string& aQuery)
{
  return base::CombineHash(base::Hash64(aService), aQuery);
}

QuarantineState
StateOf(const QuarantineTable& aTable, Fingerprint aFingerprint, base::Instant aNow)
{
  auto found = aTable.records.find(aFingerprint);
  if (found == aTable.records.end()) {
    return QuarantineState::Clear;
  }
  if (aNow < found->second.quarantinedUntil) {
    return QuarantineState::Quarantined;
  }
  return aNow < found->second.suspectUntil ? QuarantineState::Suspect : QuarantineState::Clear;
}

namespace {

void
EvictFirstToExpire(QuarantineTable& aTable)
{
  if (aTable.records.size() < kMaxRecords) {
    return;
  }
  auto firstToExpire = std::min_element(
    aTable.records.begin(), aTable.records.end(), [](const auto& aLeft, const auto& aRight) {
      return std::max(aLeft.second.suspectUntil, aLeft.second.quarantinedUntil) <
             std::max(aRight.second.suspectUntil, aRight.second.quarantinedUntil);
    });
  aTable.records.erase(firstToExpire);
}

} // namespace

QuarantineState
OnServerLost(QuarantineTable& aTable,
             Fingerprint aFingerprint,
             const directory::ServerStart& aServer,
             bool aRanIsolated,
             base::Instant aNow)
{
  QuarantineState before = StateOf(aTable, aFingerprint, aNow);
  if (before == QuarantineState::Clear) {
    EvictFirstToExpire(aTable);
  }
  RequestRecord& record = aTable.records[aFingerprint];
  bool lostSecondStart =
    before == QuarantineState::Suspect && aRanIsolated && record.firstLostServer != aServer;
  if (before == QuarantineState::Clear) {
    record.firstLostServer = aServer;
  }
  if (lostSecondStart) {
    record.quarantinedUntil = aNow + kQuarantineTime;
  }
  record.suspectUntil = aNow + kSuspicionTime;
  record.lastLossAt = aNow;
  return StateOf(aTable, aFingerprint, aNow);
}

void
OnAnswered(QuarantineTable& aTable, Fingerprint aFingerprint)
{
  aTable.records.erase(aFingerprint);
}

void
OnPeerQuarantined(QuarantineTable& aTable,
                  Fingerprint aFingerprint,
                  base::Duration aRemaining,
                  base::Instant aNow)
{
  EvictFirstToExpire(aTable);
  RequestRecord& record = aTable.records[aFingerprint];
  base::Duration remaining = std::min(aRemaining, base::Duration(kQuarantineTime));
  // Peers repeat this report while the quarantine lasts; only the first one counts as a loss.
  if (aNow >= record.quarantinedUntil) {
    record.lastLossAt = aNow;
  }
  record.quarantinedUntil = std::max(record.quarantinedUntil, aNow + remaining);
}

void
OnPeerSuspected(QuarantineTable& aTable,
                Fingerprint aFingerprint,
                const directory::ServerStart& aServer,
                base::Instant aNow)
{
  if (StateOf(aTable, aFingerprint, aNow) == QuarantineState::Clear) {
    OnServerLost(aTable, aFingerprint, aServer, false, aNow);
  }
}

std::vector<QuarantinedRequest>
ListQuarantined(const QuarantineTable& aTable, base::Instant aNow)
{
  std::vector<QuarantinedRequest> list;
  for (const auto& [fingerprint, record] : aTable.records) {
    if (aNow < record.quarantinedUntil) {
      list.push_back(QuarantinedRequest{ .fingerprint = fingerprint,
                                         .remaining = record.quarantinedUntil - aNow });
    }
  }
  return list;
}

std::optional<KnownRequest>
FindKnown(const QuarantineTable& aTable, Fingerprint aFingerprint, base::Instant aNow)
{
  QuarantineState state = StateOf(aTable, aFingerprint, aNow);
  if (state == QuarantineState::Clear) {
    return std::nullopt;
  }
  const RequestRecord& record = aTable.records.at(aFingerprint);
  bool isQuarantined = state == QuarantineState::Quarantined;
  return KnownRequest{ .fingerprint = aFingerprint,
                       .state = state,
                       .firstLostServer = record.firstLostServer,
                       .remaining =
                         (isQuarantined ? record.quarantinedUntil : record.suspectUntil) - aNow };
}

std::vector<KnownRequest>
ListKnown(const QuarantineTable& aTable, base::Instant aNow, size_t aMax)
{
  std::vector<KnownRequest> known;
  for (const auto& [fingerprint, record] : aTable.records) {
    if (std::optional<KnownRequest> request = FindKnown(aTable, fingerprint, aNow)) {
      known.push_back(std::move(*request));
    }
  }
  size_t count = std::min(aMax, known.size());
  std::partial_sort(known.begin(),
                    known.begin() + static_cast<std::ptrdiff_t>(count),
                    known.end(),
                    [](const KnownRequest& aLeft, const KnownRequest& aRight) {
                      return std::tie(aLeft.state, aLeft.remaining) >
                             std::tie(aRight.state, aRight.remaining);
                    });
  known.resize(count);
  return known;
}

void
OnPeerKnown(QuarantineTable& aTable, const KnownRequest& aKnown, base::Instant aNow)
{
  if (aKnown.state == QuarantineState::Quarantined) {
    OnPeerQuarantined(aTable, aKnown.fingerprint, aKnown.remaining, aNow);
    return;
  }
  if (StateOf(aTable, aKnown.fingerprint, aNow) == QuarantineState::Clear) {
    OnPeerSuspected(aTable, aKnown.fingerprint, aKnown.firstLostServer, aNow);
    RequestRecord& record = aTable.records[aKnown.fingerprint];
    record.suspectUntil = std::min(record.suspectUntil, aNow + aKnown.remaining);
  }
}

bool
HasRecentLoss(const QuarantineTable& aTable, base::Instant aNow)
{
  return std::any_of(aTable.records.begin(), aTable.records.end(), [&](const auto& aEntry) {
    return aNow < aEntry.second.lastLossAt + kRecentLossWindow;
  });
}

void
RemoveExpired(QuarantineTable& aTable, base::Instant aNow)
{
  std::erase_if(aTable.records, [&](const auto& aEntry) {
    return aNow >= aEntry.second.suspectUntil && aNow >= aEntry.second.quarantinedUntil;
  });
}

} // namespace sapphirewind::quarantine
