/// @file Instances' views of each other and their copies of one object, on a virtual clock.
///
/// The driver only carries messages between pure functions: who probes whom, what is believed and
/// what is passed on is decided by libs/membership and tier::ObjectCache.
#pragma once

#include <base/Random.h>
#include <map>
#include <membership/View.h>
#include <memory>
#include <set>
#include <string>
#include <tier/ObjectCache.h>
#include <vector>

namespace sapphirewind::test {

class MembershipSimulation
{
public:
  MembershipSimulation(size_t aCount, uint64_t aSeed);

  /// Runs the clock to a moment from the start.
  void RunTo(base::Duration aMoment);

  void Kill(size_t aMember);
  /// Starts a killed member under its old name, knowing only the platform's list.
  void Restart(size_t aMember);
  void Freeze(size_t aMember, base::Duration aFor);
  void Leave(size_t aMember);
  /// Cuts the link between two members both ways.
  void Cut(size_t aLeft, size_t aRight, base::Duration aFor);
  /// Makes a member learn of a generation from the platform.
  void Publish(size_t aMember, uint64_t aGeneration);

  /// Members that another takes for serving.
  std::set<std::string> ServingAt(size_t aMember) const;
  std::set<std::string> Running() const;
  uint64_t GenerationAt(size_t aMember) const;
  bool IsAlive(size_t aMember) const;
  size_t Count() const { return this->members.size(); }
  /// Times that a member's generation fell while it ran.
  size_t GenerationsFallen() const { return this->fallen; }

  static std::string NameOf(size_t aMember);

private:
  struct SimulatedMember
  {
    membership::View view;
    std::unique_ptr<tier::ObjectCache> objects;
    bool alive = true;
    bool leaving = false;
    base::Instant frozenUntil{};
    base::Instant nextProbe{};
    uint64_t highest = 0;
  };

  void Start(size_t aMember);
  void Probe(size_t aMember);
  bool Reaches(size_t aFrom, size_t aTo) const;
  bool Answers(size_t aMember) const;
  void Exchange(size_t aFrom, size_t aTo);
  void Look();
  size_t IndexOf(const std::string& aName) const;

  base::Random random;
  base::Instant now{};
  std::vector<SimulatedMember> members;
  std::map<std::set<size_t>, base::Instant> cuts;
  int64_t incarnations = 1;
  size_t fallen = 0;
};

} // namespace sapphirewind::test
