#include <membership/View.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <model/Fields.h>

namespace sapphirewind::membership {

namespace {

constexpr std::array<MemberState, 4> kStates = { MemberState::Alive,
                                                 MemberState::Suspect,
                                                 MemberState::Leaving,
                                                 MemberState::Dead };
/// Each record is sent this many times the logarithm of the fleet.
constexpr double kSendsPerLog = 3.0;

size_t
SendsOfEach(const View& aView)
{
  double fleet = static_cast<double>(aView.others.size() + 2);
  return static_cast<size_t>(std::ceil(kSendsPerLog * std::log2(fleet)));
}

/// Whether a record is newer word than what is known: a higher incarnation, or a worse state in the
/// same one.
bool
IsNewer(const Member& aHeard, const Member& aKnown)
{
  if (aHeard.incarnation != aKnown.incarnation) {
    return aHeard.incarnation > aKnown.incarnation;
  }
  return aHeard.state > aKnown.state;
}

void
Replace(KnownMember& aKnown, const Member& aHeard, base::Instant aNow)
{
  aKnown.member = aHeard;
  aKnown.changedAt = aNow;
  aKnown.timesSent = 0;
}

void
RefuteIfNeeded(View& aView, const Member& aRumour)
{
  bool against = aRumour.state == MemberState::Suspect || aRumour.state == MemberState::Dead;
  bool ownWord = aRumour.state == aView.self.state;
  if ((against || !ownWord) && aRumour.incarnation >= aView.self.incarnation) {
    aView.self.incarnation = aRumour.incarnation + 1;
    aView.selfTimesSent = 0;
  }
}

bool
TakesWork(const Member& aMember)
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
  std::vector<Member> helpers;
  for (const auto& [name, known] : aView.others) {
    if (name != aTarget && known.member.state == MemberState::Alive) {
      helpers.push_back(known.member);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), aRandom);
  helpers.resize(std::min(aCount, helpers.size()));
  return helpers;
}

void
OnMessageFrom(View& aView, const Member& aSender, base::Instant aNow)
{
  if (aSender.name == aView.self.name) {
    return;
  }
  KnownMember& known = aView.others[aSender.name];
  bool first = known.member.name.empty();
  // Direct word in the same incarnation clears a suspicion held here; others learn by refutation.
  bool clears = known.member.incarnation == aSender.incarnation &&
                known.member.state == MemberState::Suspect && aSender.state == MemberState::Alive;
  if (first || clears || IsNewer(aSender, known.member)) {
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
    bool late = aNow - known.changedAt >= aTiming.suspicionTimeout;
    if (known.member.state == MemberState::Suspect && late) {
      Member dead = known.member;
      dead.state = MemberState::Dead;
      Replace(known, dead, aNow);
      changed.push_back(name);
    }
  }
  std::erase_if(aView.others, [&](const auto& aEntry) {
    bool gone = aEntry.second.member.state == MemberState::Dead ||
                aEntry.second.member.state == MemberState::Leaving;
    return gone &&
           aNow - std::max(aEntry.second.changedAt, aEntry.second.lastSeen) >= aTiming.removalDelay;
  });
  return changed;
}

std::vector<Member>
TakeGossipUpdates(View& aView, const std::string& aReceiver, size_t aMost)
{
  size_t bound = SendsOfEach(aView);
  std::vector<KnownMember*> candidates;
  for (auto& [name, known] : aView.others) {
    if (known.timesSent < bound && known.member.incarnation > 0) {
      candidates.push_back(&known);
    }
  }
  std::stable_sort(
    candidates.begin(), candidates.end(), [](const KnownMember* aLeft, const KnownMember* aRight) {
      return aLeft->timesSent < aRight->timesSent;
    });
  candidates.resize(std::min(aMost, candidates.size()));
  std::vector<Member> rumours;
  auto receiver = aView.others.find(aReceiver);
  if (receiver != aView.others.end() && receiver->second.member.state != MemberState::Alive) {
    rumours.push_back(receiver->second.member);
  }
  for (KnownMember* known : candidates) {
    ++known->timesSent;
    rumours.push_back(known->member);
  }
  return rumours;
}

std::vector<std::string>
MergeGossipUpdates(View& aView, const std::vector<Member>& aRumours, base::Instant aNow)
{
  std::vector<std::string> changed;
  for (const Member& rumour : aRumours) {
    if (rumour.name == aView.self.name) {
      RefuteIfNeeded(aView, rumour);
      continue;
    }
    auto found = aView.others.find(rumour.name);
    if (found == aView.others.end()) {
      if (rumour.state == MemberState::Dead) {
        continue;
      }
      aView.others[rumour.name] = KnownMember{ .member = rumour, .changedAt = aNow };
      changed.push_back(rumour.name);
    } else if (IsNewer(rumour, found->second.member)) {
      Replace(found->second, rumour, aNow);
      changed.push_back(rumour.name);
    }
  }
  return changed;
}

std::vector<std::string>
ServingInstances(const View& aView, const std::string& aRegion)
{
  std::vector<std::string> names;
  if (aView.self.region == aRegion && TakesWork(aView.self)) {
    names.push_back(aView.self.name);
  }
  for (const auto& [name, known] : aView.others) {
    if (known.member.region == aRegion && TakesWork(known.member)) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

bool
IsWatcher(const View& aView, size_t aWatchersPerZone)
{
  uint64_t ownScore = base::HashMore(base::Hash64(aView.self.zone), aView.self.name);
  size_t before = 0;
  for (const auto& [name, known] : aView.others) {
    if (known.member.zone != aView.self.zone || known.member.state != MemberState::Alive) {
      continue;
    }
    before += base::HashMore(base::Hash64(known.member.zone), name) > ownScore ? 1 : 0;
  }
  return before < aWatchersPerZone;
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
  model::Fields fields(aValue);
  std::string stateText = fields.Text("state");
  auto state = std::find_if(kStates.begin(), kStates.end(), [&](MemberState aState) {
    return stateText == ToText(aState);
  });
  Member member{ .name = fields.Text("name"),
                 .address = fields.Text("address"),
                 .region = fields.Text("region"),
                 .zone = fields.Text("zone"),
                 .incarnation = fields.Integer("incarnation"),
                 .state = state == kStates.end() ? MemberState::Dead : *state };
  return fields.Ok() && state != kStates.end() ? std::optional(member) : std::nullopt;
}

} // namespace sapphirewind::membership
