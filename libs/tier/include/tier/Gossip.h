/// @file Gossip between instances: membership, object versions, leaving servers and quarantined
/// requests.
#pragma once

#include <base/Random.h>
#include <base/Time.h>
#include <functional>
#include <membership/View.h>
#include <model/Work.h>
#include <mutex>
#include <string>
#include <tier/ObjectCache.h>
#include <tier/PauseGuard.h>
#include <tier/PeerClient.h>
#include <tier/SharedState.h>
#include <vector>

namespace sapphirewind::tier {

/// One gossip message; the answer has the same form.
struct GossipMessage
{
  membership::Member sender;
  std::vector<membership::Member> updates;
  /// A hash over the sender's object versions.
  uint64_t digest = 0;
  std::vector<LeavingServer> leaving;
  std::vector<quarantine::QuarantinedRequest> quarantined;
};

Json::Value
ToJson(const GossipMessage& aMessage);
std::optional<GossipMessage>
GossipMessageFromJson(const Json::Value& aValue);

/// The maximum number of membership updates in one message.
constexpr size_t kMaxUpdatesPerMessage = 8;

/// The time between probes: 200 ms for up to 16 instances, then growing with the square root of
/// their number up to 750 ms. Outside urgent rounds an instance probes one member per interval,
/// so the cost per instance does not grow with their number.
base::Duration
ProbeInterval(size_t aInstanceCount);

/// Dependencies of Gossip. The references outlive it.
struct GossipContext
{
  ObjectCache& objects;
  PeerClient& peers;
  LeavingServers& leaving;
  SharedQuarantine& quarantine;
  PauseGuard& pauseGuard;
  /// Called after membership or objects changed, on the gossip thread or a handler thread.
  std::function<void()> onChange;
};

/// Thread-safe.
class Gossip
{
public:
  Gossip(GossipContext aContext, membership::Member aSelf, std::vector<std::string> aSeeds);

  /// One round: probes a member, exchanges objects whose versions differ, expires suspects. aUrgent
  /// probes several members, so that a change spreads at once.
  void RunRound(bool aUrgent);

  /// Merges a peer's message and returns the answer.
  GossipMessage HandleMessage(const GossipMessage& aMessage);

  /// Marks this instance as leaving.
  void Leave();

  void ApplyPlatformList(const std::vector<model::InstanceRecord>& aList);

  membership::View View() const;
  /// The number of known instances, including this one.
  size_t InstanceCount() const;
  bool IsWatcher() const;

private:
  GossipMessage Compose(const std::string& aReceiver);
  void MergeMessage(const GossipMessage& aMessage);
  bool Probe(const membership::Member& aTarget);
  void ProbeIndirectly(const membership::Member& aTarget);
  void ExchangeObjects(const std::string& aAddress);

  GossipContext context;
  const std::vector<std::string> seeds;
  mutable std::mutex mutex;
  membership::View view;
  membership::Timing timing;
  base::Random random;
};

} // namespace sapphirewind::tier
