#include "MembershipSimulation.h"

#include <algorithm>

namespace sapphirewind::test {

namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(20);
constexpr base::Duration kProbeInterval = std::chrono::milliseconds(200);
constexpr size_t kIndirectProbers = 2;
constexpr size_t kMaxGossipUpdates = 8;
constexpr const char* kObject = "tier/configuration";

} // namespace

std::string
MembershipSimulation::MemberName(size_t aMember)
{
  return "m" + std::to_string(aMember + 1);
}

size_t
MembershipSimulation::MemberIndex(const std::string& aName) const
{
  return std::stoul(aName.substr(1)) - 1;
}

MembershipSimulation::MembershipSimulation(size_t aCount, uint64_t aSeed)
  : random(aSeed)
  , members(aCount)
{
  for (size_t member = 0; member < aCount; ++member) {
    this->Start(member);
  }
}

void
MembershipSimulation::Start(size_t aMember)
{
  SimulatedMember& simulated = this->members[aMember];
  simulated = SimulatedMember();
  simulated.objects = std::make_unique<tier::ObjectCache>();
  simulated.view.self = membership::Member{ .name = MemberName(aMember),
                                            .address = MemberName(aMember),
                                            .region = "r1",
                                            .zone = "r1a",
                                            .incarnation = ++this->incarnations,
                                            .state = membership::MemberState::Alive };
  std::vector<model::InstanceRecord> list;
  for (size_t other = 0; other < this->members.size(); ++other) {
    list.push_back(model::InstanceRecord{ .name = MemberName(other),
                                          .address = MemberName(other),
                                          .region = "r1",
                                          .zone = "r1a",
                                          .leaving = false });
  }
  membership::ApplyPlatformList(simulated.view, list, this->now);
  auto offset = static_cast<int64_t>(base::UniformIndex(this->random, 200));
  simulated.nextProbe = this->now + std::chrono::milliseconds(offset);
}

bool
MembershipSimulation::IsResponsive(size_t aMember) const
{
  const SimulatedMember& simulated = this->members[aMember];
  return simulated.alive && this->now >= simulated.suspendedUntil;
}

bool
MembershipSimulation::CanReach(size_t aFrom, size_t aTo) const
{
  auto cutLink = this->cutLinks.find({ aFrom, aTo });
  bool linkIsCut = cutLink != this->cutLinks.end() && this->now < cutLink->second;
  return !linkIsCut && this->IsResponsive(aTo);
}

void
MembershipSimulation::Exchange(size_t aFrom, size_t aTo)
{
  SimulatedMember& from = this->members[aFrom];
  SimulatedMember& to = this->members[aTo];
  std::vector<membership::Member> updates =
    membership::TakeGossipUpdates(from.view, to.view.self.name, kMaxGossipUpdates);
  membership::OnMessageFrom(to.view, from.view.self, this->now);
  membership::MergeGossipUpdates(to.view, updates, this->now);
  std::vector<membership::Member> replyUpdates =
    membership::TakeGossipUpdates(to.view, from.view.self.name, kMaxGossipUpdates);
  membership::OnMessageFrom(from.view, to.view.self, this->now);
  membership::MergeGossipUpdates(from.view, replyUpdates, this->now);
  if (std::optional<platform::VersionedValue> object = to.objects->Get(kObject)) {
    from.objects->UpdateIfNewer(kObject, *object);
  }
}

void
MembershipSimulation::Probe(size_t aMember)
{
  SimulatedMember& simulated = this->members[aMember];
  std::optional<membership::Member> target = membership::NextProbe(simulated.view, this->random);
  if (!target) {
    return;
  }
  size_t targetIndex = this->MemberIndex(target->name);
  if (this->CanReach(aMember, targetIndex)) {
    this->Exchange(aMember, targetIndex);
    return;
  }
  for (const membership::Member& prober : membership::PickIndirectProbers(
         simulated.view, target->name, kIndirectProbers, this->random)) {
    size_t proberIndex = this->MemberIndex(prober.name);
    if (this->CanReach(aMember, proberIndex) && this->CanReach(proberIndex, targetIndex)) {
      return;
    }
  }
  membership::OnProbeFailed(simulated.view, target->name, this->now);
}

void
MembershipSimulation::CheckGenerations()
{
  for (SimulatedMember& simulated : this->members) {
    uint64_t generation = simulated.objects->VersionOf(kObject);
    this->generationRegressions +=
      simulated.alive && generation < simulated.highestGeneration ? 1 : 0;
    simulated.highestGeneration = std::max(simulated.highestGeneration, generation);
  }
}

void
MembershipSimulation::RunTo(base::Duration aTime)
{
  while (this->now < base::Instant(aTime)) {
    for (size_t member = 0; member < this->members.size(); ++member) {
      SimulatedMember& simulated = this->members[member];
      if (!this->IsResponsive(member) || this->now < simulated.nextProbe) {
        continue;
      }
      this->Probe(member);
      membership::Expire(simulated.view, membership::Timing{}, this->now);
      simulated.nextProbe = this->now + kProbeInterval;
    }
    this->CheckGenerations();
    this->now += kTick;
  }
}

void
MembershipSimulation::Kill(size_t aMember)
{
  this->members[aMember].alive = false;
}

void
MembershipSimulation::Restart(size_t aMember)
{
  this->Start(aMember);
}

void
MembershipSimulation::Suspend(size_t aMember, base::Duration aDuration)
{
  this->members[aMember].suspendedUntil = this->now + aDuration;
}

void
MembershipSimulation::Leave(size_t aMember)
{
  this->members[aMember].leaving = true;
  this->members[aMember].view.self.state = membership::MemberState::Leaving;
}

void
MembershipSimulation::CutLink(size_t aFirst, size_t aSecond, base::Duration aDuration)
{
  this->cutLinks[{ aFirst, aSecond }] = this->now + aDuration;
}

void
MembershipSimulation::Publish(size_t aMember, uint64_t aGeneration)
{
  Json::Value value(static_cast<Json::UInt64>(aGeneration));
  this->members[aMember].objects->UpdateIfNewer(
    kObject, platform::VersionedValue{ .version = aGeneration, .value = value });
}

std::set<std::string>
MembershipSimulation::ServingSeenBy(size_t aMember) const
{
  std::vector<std::string> serving =
    membership::ServingInstances(this->members[aMember].view, "r1");
  return { serving.begin(), serving.end() };
}

std::set<std::string>
MembershipSimulation::RunningMembers() const
{
  std::set<std::string> runningMembers;
  for (size_t member = 0; member < this->members.size(); ++member) {
    if (this->members[member].alive && !this->members[member].leaving) {
      runningMembers.insert(MemberName(member));
    }
  }
  return runningMembers;
}

uint64_t
MembershipSimulation::GenerationAt(size_t aMember) const
{
  return this->members[aMember].objects->VersionOf(kObject);
}

bool
MembershipSimulation::IsAlive(size_t aMember) const
{
  return this->members[aMember].alive;
}

} // namespace sapphirewind::test
