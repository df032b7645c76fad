#include "MemberFleet.h"

#include <algorithm>

namespace sapphirewind::test {

namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(20);
constexpr base::Duration kProbeEvery = std::chrono::milliseconds(200);
constexpr size_t kHelpers = 2;
constexpr size_t kRumours = 8;
constexpr const char* kObject = "tier/configuration";

} // namespace

std::string
MemberFleet::NameOf(size_t aMember)
{
  return "m" + std::to_string(aMember + 1);
}

size_t
MemberFleet::IndexOf(const std::string& aName) const
{
  return std::stoul(aName.substr(1)) - 1;
}

MemberFleet::MemberFleet(size_t aCount, uint64_t aSeed)
  : random(aSeed)
  , members(aCount)
{
  for (size_t member = 0; member < aCount; ++member) {
    this->Start(member);
  }
}

void
MemberFleet::Start(size_t aMember)
{
  Runner& runner = this->members[aMember];
  runner = Runner();
  runner.objects = std::make_unique<tier::ObjectCache>();
  runner.view.self = membership::Member{ .name = NameOf(aMember),
                                         .address = NameOf(aMember),
                                         .region = "r1",
                                         .zone = "r1a",
                                         .incarnation = ++this->incarnations,
                                         .state = membership::MemberState::Alive };
  std::vector<model::InstanceRecord> list;
  for (size_t other = 0; other < this->members.size(); ++other) {
    list.push_back(model::InstanceRecord{ .name = NameOf(other),
                                          .address = NameOf(other),
                                          .region = "r1",
                                          .zone = "r1a",
                                          .leaving = false });
  }
  membership::ApplyPlatformList(runner.view, list, this->now);
  auto offset = static_cast<int64_t>(base::UniformIndex(this->random, 200));
  runner.nextProbe = this->now + std::chrono::milliseconds(offset);
}

bool
MemberFleet::Answers(size_t aMember) const
{
  const Runner& runner = this->members[aMember];
  return runner.alive && this->now >= runner.frozenUntil;
}

bool
MemberFleet::Reaches(size_t aFrom, size_t aTo) const
{
  auto cut = this->cuts.find({ aFrom, aTo });
  bool isCut = cut != this->cuts.end() && this->now < cut->second;
  return !isCut && this->Answers(aTo);
}

void
MemberFleet::Exchange(size_t aFrom, size_t aTo)
{
  Runner& from = this->members[aFrom];
  Runner& to = this->members[aTo];
  std::vector<membership::Member> sent =
    membership::TakeGossipUpdates(from.view, to.view.self.name, kRumours);
  membership::OnMessageFrom(to.view, from.view.self, this->now);
  membership::MergeGossipUpdates(to.view, sent, this->now);
  std::vector<membership::Member> answered =
    membership::TakeGossipUpdates(to.view, from.view.self.name, kRumours);
  membership::OnMessageFrom(from.view, to.view.self, this->now);
  membership::MergeGossipUpdates(from.view, answered, this->now);
  if (std::optional<platform::VersionedValue> object = to.objects->Get(kObject)) {
    from.objects->Offer(kObject, *object);
  }
}

void
MemberFleet::Probe(size_t aMember)
{
  Runner& runner = this->members[aMember];
  std::optional<membership::Member> target = membership::NextProbe(runner.view, this->random);
  if (!target) {
    return;
  }
  size_t index = this->IndexOf(target->name);
  if (this->Reaches(aMember, index)) {
    this->Exchange(aMember, index);
    return;
  }
  for (const membership::Member& helper :
       membership::PickIndirectProbers(runner.view, target->name, kHelpers, this->random)) {
    size_t through = this->IndexOf(helper.name);
    if (this->Reaches(aMember, through) && this->Reaches(through, index)) {
      return;
    }
  }
  membership::OnProbeFailed(runner.view, target->name, this->now);
}

void
MemberFleet::Look()
{
  for (Runner& runner : this->members) {
    uint64_t generation = runner.objects->VersionOf(kObject);
    this->fallen += runner.alive && generation < runner.highest ? 1 : 0;
    runner.highest = std::max(runner.highest, generation);
  }
}

void
MemberFleet::RunTo(base::Duration aMoment)
{
  while (this->now < base::Instant(aMoment)) {
    for (size_t member = 0; member < this->members.size(); ++member) {
      Runner& runner = this->members[member];
      if (!this->Answers(member) || this->now < runner.nextProbe) {
        continue;
      }
      this->Probe(member);
      membership::Expire(runner.view, membership::Timing{}, this->now);
      runner.nextProbe = this->now + kProbeEvery;
    }
    this->Look();
    this->now += kTick;
  }
}

void
MemberFleet::Kill(size_t aMember)
{
  this->members[aMember].alive = false;
}

void
MemberFleet::Restart(size_t aMember)
{
  this->Start(aMember);
}

void
MemberFleet::Freeze(size_t aMember, base::Duration aFor)
{
  this->members[aMember].frozenUntil = this->now + aFor;
}

void
MemberFleet::Leave(size_t aMember)
{
  this->members[aMember].leaving = true;
  this->members[aMember].view.self.state = membership::MemberState::Leaving;
}

void
MemberFleet::Cut(size_t aLeft, size_t aRight, base::Duration aFor)
{
  this->cuts[{ aLeft, aRight }] = this->now + aFor;
}

void
MemberFleet::Publish(size_t aMember, uint64_t aGeneration)
{
  Json::Value value(static_cast<Json::UInt64>(aGeneration));
  this->members[aMember].objects->Offer(
    kObject, platform::VersionedValue{ .version = aGeneration, .value = value });
}

std::set<std::string>
MemberFleet::ServingAt(size_t aMember) const
{
  std::vector<std::string> serving =
    membership::ServingInstances(this->members[aMember].view, "r1");
  return { serving.begin(), serving.end() };
}

std::set<std::string>
MemberFleet::Running() const
{
  std::set<std::string> running;
  for (size_t member = 0; member < this->members.size(); ++member) {
    if (this->members[member].alive && !this->members[member].leaving) {
      running.insert(NameOf(member));
    }
  }
  return running;
}

uint64_t
MemberFleet::GenerationAt(size_t aMember) const
{
  return this->members[aMember].objects->VersionOf(kObject);
}

bool
MemberFleet::IsAlive(size_t aMember) const
{
  return this->members[aMember].alive;
}

} // namespace sapphirewind::test
