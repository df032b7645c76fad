/// @file Simulates the membership views of instances and their copies of one object on a virtual
/// clock.
///
/// The simulation only delivers messages. Probe targets, member states and gossip updates come from
/// the pure functions of libs/membership and from tier::ObjectCache.
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

  /// Advances the clock to a time since the start of the simulation.
  void RunTo(base::Duration aTime);

  void Kill(size_t aMember);
  /// Restarts a killed member under its previous name; its view contains only the platform's list.
  void Restart(size_t aMember);
  void Suspend(size_t aMember, base::Duration aDuration);
  void Leave(size_t aMember);
  /// Drops all messages between two members in both directions.
  void CutLink(size_t aFirst, size_t aSecond, base::Duration aDuration);
  /// Delivers a generation of the object to a member, as an update from the platform would.
  void Publish(size_t aMember, uint64_t aGeneration);

  /// Members that are serving according to a member's view.
  std::set<std::string> ServingSeenBy(size_t aMember) const;
  std::set<std::string> RunningMembers() const;
  uint64_t GenerationAt(size_t aMember) const;
  bool IsAlive(size_t aMember) const;
  size_t Count() const { return this->members.size(); }
  /// Number of checks, one per member and tick, that found a running member below its highest
  /// generation.
  size_t GenerationRegressions() const { return this->generationRegressions; }

  static std::string MemberName(size_t aMember);

private:
  struct SimulatedMember
  {
    membership::View view;
    std::unique_ptr<tier::ObjectCache> objects;
    bool alive = true;
    bool leaving = false;
    base::Instant suspendedUntil{};
    base::Instant nextProbe{};
    uint64_t highestGeneration = 0;
  };

  void Start(size_t aMember);
  void Probe(size_t aMember);
  bool CanReach(size_t aFrom, size_t aTo) const;
  bool IsResponsive(size_t aMember) const;
  void Exchange(size_t aFrom, size_t aTo);
  void CheckGenerations();
  size_t MemberIndex(const std::string& aName) const;

  base::Random random;
  base::Instant now{};
  std::vector<SimulatedMember> members;
  std::map<std::set<size_t>, base::Instant> cutLinks;
  int64_t incarnations = 1;
  size_t generationRegressions = 0;
};

} // namespace sapphirewind::test
