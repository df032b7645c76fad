/// @file What one instance believes of the others, and the decisions over it.
///
/// A SWIM-style protocol: each round an instance probes one other; one that does not answer becomes
/// suspect, and dead when it does not refute that in time. Changes travel as rumours on the probes,
/// each sent a bounded number of times, so that the cost a node does not grow with the fleet.
/// Source: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <json/value.h>
#include <map>
#include <model/Catalog.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::membership {

enum class MemberState : uint8_t
{
  Alive,
  Suspect,
  Leaving, ///< Finishing its work; takes no new work.
  Dead
};

const char*
ToText(MemberState aState);

/// An instance as another sees it. The incarnation is the wall clock at its start, raised when it
/// refutes a rumour about itself; the higher one is the newer word.
struct Member
{
  std::string name;
  std::string address;
  std::string region;
  std::string zone;
  int64_t incarnation = 0;
  MemberState state = MemberState::Alive;

  auto operator<=>(const Member&) const = default;
};

/// A member with what only this instance knows of it.
struct KnownMember
{
  Member member;
  base::Instant changedAt{};
  /// The last direct word from it.
  base::Instant lastSeen{};
  /// How often its record has been passed on since it changed.
  size_t timesSent = 0;
};

struct View
{
  Member self;
  std::map<std::string, KnownMember> others;
  size_t selfTimesSent = 0;
  /// The order of probes in this round; shuffled anew when used up.
  std::vector<std::string> probeOrder;
};

struct Timing
{
  /// A suspect that does not refute in this time is dead.
  base::Duration suspicionTimeout = std::chrono::milliseconds(1500);
  /// A dead member is forgotten after this time.
  base::Duration removalDelay = std::chrono::seconds(60);
};

/// Takes in the platform's list, which lags: it adds instances not heard of before and marks
/// leaving ones; what was heard from an instance itself goes first.
void
ApplyPlatformList(View& aView, const std::vector<model::InstanceRecord>& aList, base::Instant aNow);

/// The member to probe next; empty when alone.
std::optional<Member>
NextProbe(View& aView, base::Random& aRandom);

/// Others, at random, to probe a silent member on this one's behalf.
std::vector<Member>
PickIndirectProbers(const View& aView,
                    const std::string& aTarget,
                    size_t aCount,
                    base::Random& aRandom);

void
OnMessageFrom(View& aView, const Member& aSender, base::Instant aNow);

/// A probe, also through helpers, got no answer.
void
OnProbeFailed(View& aView, const std::string& aName, base::Instant aNow);

/// Turns suspects dead and forgets the long dead. Returns the names that changed.
std::vector<std::string>
Expire(View& aView, const Timing& aTiming, base::Instant aNow);

/// Records to pass on with the next message to a member, least often sent first. What is believed
/// of the receiver itself goes along whenever it is not that it is alive, however often that was
/// sent: only it can refute that.
std::vector<Member>
TakeGossipUpdates(View& aView, const std::string& aReceiver, size_t aMost);

/// Takes in records heard from another. Returns the names that changed. A rumour against this
/// instance itself is refuted by raising its incarnation.
std::vector<std::string>
MergeGossipUpdates(View& aView, const std::vector<Member>& aRumours, base::Instant aNow);

/// Names of the instances that take new work in a region, this one included, in order.
std::vector<std::string>
ServingInstances(const View& aView, const std::string& aRegion);

/// Whether this instance watches the platform for its availability zone: the first few in
/// rendezvous order do, the rest hear from peers.
bool
IsWatcher(const View& aView, size_t aWatchersPerZone);

std::string
AddressOf(const View& aView, const std::string& aName);

Json::Value
ToJson(const Member& aMember);

std::optional<Member>
MemberFromJson(const Json::Value& aValue);

} // namespace sapphirewind::membership
