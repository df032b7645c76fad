#include <membership/View.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <model/FieldReader.h>

namespace sapphirewind::membership {

namespace {

constexpr std::array<MemberState, 4> kStates = { MemberState::Alive,
                                                 MemberState::Suspect,
                                                 MemberState::Leaving,
                                                 MemberState::Dead };
/// The number of times an update is sent is this multiple of log2 of the number of instances.
constexpr double kTransmitMultiplier = 3.0;

size_t
TransmitLimit(const View& aView)
{
  double instances = static_cast<double>(aView.others.size() + 2);
  return static_cast<size_t>(std::ceil(kTransmitMultiplier * std::log2(instances)));
}

/// Returns whether a received record supersedes the known one: its incarnation is higher, or it has
/// the same incarnation and a later state in the order of MemberState.
bool
IsNewer(const Member& aReceived, const Member& aKnown)
{
  if (aReceived.incarnation != aKnown.incarnation) {
    return aReceived.incarnation > aKnown.incarnation;
  }
  return aReceived.state > aKnown.state;
}

void
Replace(KnownMember& aKnown, const Member& aReceived, base::Instant aNow)
{
  aKnown.member = aReceived;
  aKnown.changedAt = aNow;
  aKnown.timesSent = 0;
}

void
RefuteIfContradicted(View& aView, const Member& aUpdate)
{
  bool accuses = aUpdate.state == MemberState::Suspect || aUpdate.state == MemberState::Dead;
  bool sameState = aUpdate.state == aView.self.state;
  if ((accuses || !sameState) && aUpdate.incarnation >= aView.self.incarnation) {
    aView.self.incarnation = aUpdate.incarnation + 1;
    aView.selfTimesSent = 0;
  }
}

bool
AcceptsWork(const Member& aMember)
{
  return aMember.state == MemberState::Alive || aMember.state == MemberState::Suspect;
}

} // namespace

const char*
ToText(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Dead:
      return "dead";
  }
  return "";
}

void
ApplyPlatformList(View& aView, const std::vector<model::InstanceRecord>& aList, base::Instant aNow)
{
  for (const model::InstanceRecord& record : aList) {
    if (record.name == aView.self.name) {
      continue;
    }
    auto found = aView.others.find(record.name);
    if (found == aView.others.end()) {
      Member member{ .name = record.name,
                     .address = record.address,
                     .region = record.region,
                     .zone = record.zone,
                     .incarnation = 0,
                     .state = record.leaving ? MemberState::Leaving : MemberState::Alive };
      aView.others[record.name] = KnownMember{ .member = member, .changedAt = aNow };
    } else if (record.leaving && found->second.member.incarnation == 0) {
      found->second.member.state = MemberState::Leaving;
    }
  }
}

std::optional<Member>
NextProbe(View& aView, base::Random& aRandom)
{
  for (int pass = 0; pass < 2; ++pass) {
    while (!aView.probeOrder.empty()) {
      std::string name = aView.probeOrder.back();
      aView.probeOrder.pop_back();
      auto found = aView.others.find(name);
      if (found != aView.others.end()) {
        return found->second.member;
      }
    }
    for (const auto& [name, known] : aView.others) {
      aView.probeOrder.push_back(name);
    }
    std::shuffle(aView.probeOrder.begin(), aView.probeOrder.end(), aRandom);
  }
  return std::nullopt;
}

std::vector<Member>
PickIndirectProbers(const View& aView,
                    const std::string& aTarget,
                    size_t aCount,
                    base::Random& aRandom)
{
  std::vector<Member> probers;
  for (const auto& [name, known] : aView.others) {
    if (name != aTarget && known.member.state == MemberState::Alive) {
      probers.push_back(known.member);
    }
  }
  std::shuffle(probers.begin(), probers.end(), aRandom);
  probers.resize(std::min(aCount, probers.size()));
  return probers;
}

void
OnMessageFrom(View& aView, const Member& aSender, base::Instant aNow)
{
  if (aSender.name == aView.self.name) {
    return;
  }
  KnownMember& known = aView.others[aSender.name];
  bool isNew = known.member.name.empty();
  // A direct message of the same incarnation clears the local suspicion. On other instances only a
  // refutation with a higher incarnation clears it.
  bool clearsSuspicion = known.member.incarnation == aSender.incarnation &&
                         known.member.state == MemberState::Suspect &&
                         aSender.state == MemberState::Alive;
  if (isNew || clearsSuspicion || IsNewer(aSender, known.member)) {
    Replace(known, aSender, aNow);
  }
  known.lastSeen = aNow;
}

void
OnProbeFailed(View& aView, const std::string& aName, base::Instant aNow)
{
  auto found = aView.others.find(aName);
  if (found == aView.others.end() || found->second.member.state != MemberState::Alive) {
    return;
  }
  Member suspect = found->second.member;
  suspect.state = MemberState::Suspect;
  Replace(found->second, suspect, aNow);
}

std::vector<std::string>
Expire(View& aView, const Timing& aTiming, base::Instant aNow)
{
  std::vector<std::string> changed;
  for (auto& [name, known] : aView.others) {
    bool timedOut = aNow - known.changedAt >= aTiming.suspicionTimeout;
    if (known.member.state == MemberState::Suspect && timedOut) {
      Member dead = known.member;
      dead.state = MemberState::Dead;
      Replace(known, dead, aNow);
      changed.push_back(name);
    }
  }
  std::erase_if(aView.others, [&](const auto& aEntry) {
    bool removable = aEntry.second.member.state == MemberState::Dead ||
                     aEntry.second.member.state == MemberState::Leaving;
    return removable &&
           aNow - std::max(aEntry.second.changedAt, aEntry.second.lastSeen) >= aTiming.removalDelay;
  });
  return changed;
}

std::vector<Member>
TakeGossipUpdates(View& aView, const std::string& aReceiver, size_t aMaxCount)
{
  size_t transmitLimit = TransmitLimit(aView);
  std::vector<KnownMember*> candidates;
  for (auto& [name, known] : aView.others) {
    if (known.timesSent < transmitLimit && known.member.incarnation > 0) {
      candidates.push_back(&known);
    }
  }
  std::stable_sort(
    candidates.begin(), candidates.end(), [](const KnownMember* aLeft, const KnownMember* aRight) {
      return aLeft->timesSent < aRight->timesSent;
    });
  candidates.resize(std::min(aMaxCount, candidates.size()));
  std::vector<Member> updates;
  auto receiver = aView.others.find(aReceiver);
  if (receiver != aView.others.end() && receiver->second.member.state != MemberState::Alive) {
    updates.push_back(receiver->second.member);
  }
  for (KnownMember* known : candidates) {
    ++known->timesSent;
    updates.push_back(known->member);
  }
  return updates;
}

std::vector<std::string>
MergeGossipUpdates(View& aView, const std::vector<Member>& aUpdates, base::Instant aNow)
{
  std::vector<std::string> changed;
  for (const Member& update : aUpdates) {
    if (update.name == aView.self.name) {
      RefuteIfContradicted(aView, update);
      continue;
    }
    auto found = aView.others.find(update.name);
    if (found == aView.others.end()) {
      if (update.state == MemberState::Dead) {
        continue;
      }
      aView.others[update.name] = KnownMember{ .member = update, .changedAt = aNow };
      changed.push_back(update.name);
    } else if (IsNewer(update, found->second.member)) {
      Replace(found->second, update, aNow);
      changed.push_back(update.name);
    }
  }
  return changed;
}

std::vector<std::string>
ServingInstances(const View& aView, const std::string& aRegion)
{
  std::vector<std::string> names;
  if (aView.self.region == aRegion && AcceptsWork(aView.self)) {
    names.push_back(aView.self.name);
  }
  for (const auto& [name, known] : aView.others) {
    if (known.member.region == aRegion && AcceptsWork(known.member)) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

bool
IsWatcher(const View& aView, size_t aWatchersPerZone)
{
  uint64_t ownScore = base::CombineHash(base::Hash64(aView.self.zone), aView.self.name);
  size_t higherScored = 0;
  for (const auto& [name, known] : aView.others) {
    if (known.member.zone != aView.self.zone || known.member.state != MemberState::Alive) {
      continue;
    }
    higherScored += base::CombineHash(base::Hash64(known.member.zone), name) > ownScore ? 1 : 0;
  }
  return higherScored < aWatchersPerZone;
}

std::string
AddressOf(const View& aView, const std::string& aName)
{
  if (aName == aView.self.name) {
    return aView.self.address;
  }
  auto found = aView.others.find(aName);
  return found == aView.others.end() ? std::string() : found->second.member.address;
}

Json::Value
ToJson(const Member& aMember)
{
  Json::Value value;
  value["name"] = aMember.name;
  value["address"] = aMember.address;
  value["region"] = aMember.region;
  value["zone"] = aMember.zone;
  value["incarnation"] = static_cast<Json::Int64>(aMember.incarnation);
  value["state"] = ToText(aMember.state);
  return value;
}

std::optional<Member>
MemberFromJson(const Json::Value& aValue)
{
  model::FieldReader fields(aValue);
  std::string stateText = fields.String("state");
  auto state = std::find_if(kStates.begin(), kStates.end(), [&](MemberState aState) {
    return stateText == ToText(aState);
  });
  Member member{ .name = fields.String("name"),
                 .address = fields.String("address"),
                 .region = fields.String("region"),
                 .zone = fields.String("zone"),
                 .incarnation = fields.Integer("incarnation"),
                 .state = state == kStates.end() ? MemberState::Dead : *state };
  return fields.Ok() && state != kStates.end() ? std::optional(member) : std::nullopt;
}

} // namespace sapphirewind::membership
