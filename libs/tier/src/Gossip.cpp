#include <tier/Gossip.h>

#include <algorithm>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(400);
constexpr base::Duration kIndirectProbeTimeout = std::chrono::milliseconds(900);
constexpr base::Duration kExchangeTimeout = std::chrono::seconds(2);
constexpr size_t kIndirectProbers = 2;
constexpr size_t kUrgentFanout = 3;
/// The maximum number of objects in one exchange, which bounds the size of its answer.
constexpr size_t kMaxObjectsPerExchange = 64;

} // namespace

Gossip::Gossip(GossipContext aContext, membership::Member aSelf, std::vector<std::string> aSeeds)
  : context(std::move(aContext))
  , seeds(std::move(aSeeds))
  , random(base::ThreadRandom()())
{
  this->view.self = std::move(aSelf);
}

GossipMessage
Gossip::Compose(const std::string& aReceiver)
{
  base::Instant now = base::Now();
  GossipMessage message;
  message.digest = this->context.objects.Digest(this->InstanceCount());
  message.leaving = this->context.leaving.List(now);
  message.quarantined = this->context.quarantine.ListQuarantined(now);
  std::lock_guard<std::mutex> lock(this->mutex);
  message.sender = this->view.self;
  message.updates = membership::TakeGossipUpdates(this->view, aReceiver, kMaxUpdatesPerMessage);
  return message;
}

void
Gossip::MergeMessage(const GossipMessage& aMessage)
{
  base::Instant now = base::Now();
  for (const LeavingServer& server : aMessage.leaving) {
    if (this->context.leaving.MarkLeaving(server.server, server.remaining, now)) {
      telemetry::Log(telemetry::Event::ServerLeaving,
                     { { "server", server.server }, { "heard", aMessage.sender.name } });
    }
  }
  for (const quarantine::QuarantinedRequest& quarantined : aMessage.quarantined) {
    this->context.quarantine.OnPeerQuarantined(quarantined, now);
  }
  std::vector<membership::Member> updates = aMessage.updates;
  std::vector<std::string> changed;
  int64_t incarnationBefore = 0;
  int64_t incarnationAfter = 0;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    incarnationBefore = this->view.self.incarnation;
    bool known = this->view.others.count(aMessage.sender.name) > 0;
    membership::MemberState stateBefore =
      known ? this->view.others[aMessage.sender.name].member.state : membership::MemberState::Dead;
    membership::OnMessageFrom(this->view, aMessage.sender, now);
    changed = membership::MergeGossipUpdates(this->view, updates, now);
    if (!known || stateBefore != aMessage.sender.state) {
      changed.push_back(aMessage.sender.name);
    }
    incarnationAfter = this->view.self.incarnation;
  }
  if (incarnationAfter != incarnationBefore) {
    telemetry::Log(telemetry::Event::RumourRefuted, { { "incarnation", incarnationAfter } });
  }
  if (!changed.empty()) {
    this->context.onChange();
  }
}

GossipMessage
Gossip::HandleMessage(const GossipMessage& aMessage)
{
  this->MergeMessage(aMessage);
  return this->Compose(aMessage.sender.name);
}

bool
Gossip::Probe(const membership::Member& aTarget)
{
  GossipMessage message = this->Compose(aTarget.name);
  base::Instant requestedAt = base::Now();
  base::Result<Json::Value> answer = this->context.peers.Call(
    aTarget.address, "gossip", ToJson(message), CallOptions{ .timeout = kProbeTimeout });
  if (!answer) {
    return false;
  }
  std::optional<GossipMessage> reply = GossipMessageFromJson(*answer);
  if (!reply) {
    telemetry::Log(telemetry::Event::PeerMessageRefused, { { "peer", aTarget.name } });
    return true;
  }
  this->MergeMessage(*reply);
  // After a process pause only an answer requested after it counts: a message that a peer sent on
  // its own may have waited in the socket during the whole pause.
  this->context.pauseGuard.OnRefreshed(RefreshSource::Peers, requestedAt);
  if (reply->digest != this->context.objects.Digest(this->InstanceCount())) {
    this->ExchangeObjects(aTarget.address);
  }
  return true;
}

void
Gossip::ProbeIndirectly(const membership::Member& aTarget)
{
  std::vector<membership::Member> probers;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    probers =
      membership::PickIndirectProbers(this->view, aTarget.name, kIndirectProbers, this->random);
  }
  for (const membership::Member& prober : probers) {
    Json::Value parameters;
    parameters["address"] = aTarget.address;
    base::Result<Json::Value> answer = this->context.peers.Call(
      prober.address, "probe", parameters, CallOptions{ .timeout = kIndirectProbeTimeout });
    if (answer && (*answer)["answered"].isBool() && (*answer)["answered"].asBool()) {
      return;
    }
  }
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    membership::OnProbeFailed(this->view, aTarget.name, base::Now());
  }
  telemetry::Log(telemetry::Event::MemberChanged,
                 { { "member", aTarget.name }, { "state", "suspect" } });
}

void
Gossip::ExchangeObjects(const std::string& aAddress)
{
  base::Result<Json::Value> list =
    this->context.peers.Call(aAddress,
                             "versions",
                             Json::Value(Json::objectValue),
                             CallOptions{ .timeout = kExchangeTimeout });
  if (!list || !(*list)["versions"].isObject()) {
    return;
  }
  const Json::Value& versions = (*list)["versions"];
  Json::Value request;
  request["names"] = Json::Value(Json::arrayValue);
  for (const std::string& name : versions.getMemberNames()) {
    bool newer = IsRelayed(name, this->InstanceCount()) && versions[name].isUInt64() &&
                 versions[name].asUInt64() > this->context.objects.VersionOf(name);
    if (newer && request["names"].size() < kMaxObjectsPerExchange) {
      request["names"].append(name);
    }
  }
  if (request["names"].empty()) {
    return;
  }
  base::Result<Json::Value> objects = this->context.peers.Call(
    aAddress, "objects", request, CallOptions{ .timeout = kExchangeTimeout });
  if (!objects || !(*objects)["objects"].isObject()) {
    return;
  }
  bool updated = false;
  const Json::Value& bodies = (*objects)["objects"];
  for (const std::string& name : bodies.getMemberNames()) {
    const Json::Value& body = bodies[name];
    if (body.isObject() && body["version"].isUInt64()) {
      platform::VersionedValue object{ .version = body["version"].asUInt64(),
                                       .value = body["value"] };
      updated = this->context.objects.UpdateIfNewer(name, object) || updated;
    }
  }
  if (updated) {
    this->context.onChange();
  }
}

void
Gossip::RunRound(bool aUrgent)
{
  std::vector<membership::Member> targets;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    size_t targetCount = aUrgent ? kUrgentFanout : 1;
    for (size_t index = 0; index < targetCount; ++index) {
      std::optional<membership::Member> target = membership::NextProbe(this->view, this->random);
      if (target) {
        targets.push_back(*target);
      }
    }
  }
  if (targets.empty()) {
    // No other instance is known, so there is no peer state to wait for.
    this->context.pauseGuard.OnRefreshed(RefreshSource::Peers, base::Now());
    for (const std::string& seed : this->seeds) {
      this->Probe(membership::Member{ .name = seed, .address = seed });
    }
  }
  for (const membership::Member& target : targets) {
    bool probed = this->Probe(target);
    if (!probed && target.state == membership::MemberState::Alive) {
      this->ProbeIndirectly(target);
    }
  }
  std::vector<std::string> changed;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    changed = membership::Expire(this->view, this->timing, base::Now());
  }
  for (const std::string& name : changed) {
    telemetry::Log(telemetry::Event::MemberChanged, { { "member", name }, { "state", "dead" } });
  }
  if (!changed.empty()) {
    this->context.onChange();
  }
}

void
Gossip::Leave()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->view.self.state = membership::MemberState::Leaving;
}

void
Gossip::ApplyPlatformList(const std::vector<model::InstanceRecord>& aList)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  membership::ApplyPlatformList(this->view, aList, base::Now());
}

size_t
Gossip::InstanceCount() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->view.others.size() + 1;
}

membership::View
Gossip::View() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->view;
}

bool
Gossip::IsWatcher() const
{
  constexpr size_t kWatchersPerZone = 2;
  std::lock_guard<std::mutex> lock(this->mutex);
  return membership::IsWatcher(this->view, kWatchersPerZone);
}

} // namespace sapphirewind::tier
