/// @file The membership view of an instance and the operations of the gossip protocol on it.
///
/// A SWIM-style protocol: each round, an instance probes one other. An instance that does not
/// respond becomes suspect, and dead if it does not refute the suspicion in time. State changes are
/// piggybacked on probes as gossip updates. Each update is sent a bounded number of times, so that
/// the cost per instance does not grow with the number of instances. Source: A. Das, I. Gupta, A.
/// Motivala, "SWIM", DSN 2002.
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
  Leaving, ///< Draining: finishes its work and accepts no new work.
  Dead
};

const char*
ToText(MemberState aState);

/// The state of an instance as exchanged in gossip. The incarnation is the wall-clock time of the
/// instance's start, and is raised when the instance refutes an update about itself. A record with
/// a higher incarnation is newer.
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

/// A member with the local bookkeeping of this instance, which is not exchanged.
struct KnownMember
{
  Member member;
  base::Instant changedAt{};
  /// The time of the last message received from the member itself.
  base::Instant lastSeen{};
  /// How often the record was sent since its last change.
  size_t timesSent = 0;
};

struct View
{
  Member self;
  std::map<std::string, KnownMember> others;
  size_t selfTimesSent = 0;
  /// The remaining probe targets of this round. Refilled in random order when empty.
  std::vector<std::string> probeOrder;
};

struct Timing
{
  /// A suspect member that does not refute the suspicion within this time becomes dead.
  base::Duration suspicionTimeout = std::chrono::milliseconds(1500);
  /// Dead and leaving members are removed this long after their last change and last message.
  base::Duration removalDelay = std::chrono::seconds(60);
};

/// Merges the platform's list of instances, which may be out of date: adds unknown instances and
/// marks leaving ones. State received by gossip takes precedence.
void
ApplyPlatformList(View& aView, const std::vector<model::InstanceRecord>& aList, base::Instant aNow);

/// The member to probe next, or nothing if there are no other members.
std::optional<Member>
NextProbe(View& aView, base::Random& aRandom);

/// Selects random alive members for indirect probes of a member that did not respond.
std::vector<Member>
PickIndirectProbers(const View& aView,
                    const std::string& aTarget,
                    size_t aCount,
                    base::Random& aRandom);

/// Records a message received from a member itself.
void
OnMessageFrom(View& aView, const Member& aSender, base::Instant aNow);

/// Records that a member responded neither to a direct probe nor to indirect ones.
void
OnProbeFailed(View& aView, const std::string& aName, base::Instant aNow);

/// Marks suspects as dead after the suspicion timeout, and removes dead and leaving members after
/// the removal delay. Returns the names of the members newly marked as dead.
std::vector<std::string>
Expire(View& aView, const Timing& aTiming, base::Instant aNow);

/// Selects the updates for the next message to a member, least often sent first, and counts them as
/// sent. If the receiver is not recorded as alive, its own record is included regardless of how
/// often it was sent, because only the receiver can refute it.
std::vector<Member>
TakeGossipUpdates(View& aView, const std::string& aReceiver, size_t aMaxCount);

/// Merges updates received from another member. Returns the names of changed members. An update
/// that contradicts the state of this instance is refuted by raising its incarnation.
std::vector<std::string>
MergeGossipUpdates(View& aView, const std::vector<Member>& aUpdates, base::Instant aNow);

/// The sorted names of the instances in a region that accept new work, including this one.
std::vector<std::string>
ServingInstances(const View& aView, const std::string& aRegion);

/// Returns whether this instance watches the platform on behalf of its availability zone. The first
/// aWatchersPerZone instances in rendezvous order do; the others receive the data from peers.
bool
IsWatcher(const View& aView, size_t aWatchersPerZone);

std::string
AddressOf(const View& aView, const std::string& aName);

Json::Value
ToJson(const Member& aMember);

std::optional<Member>
MemberFromJson(const Json::Value& aValue);

} // namespace sapphirewind::membership
