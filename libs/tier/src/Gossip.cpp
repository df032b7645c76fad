#include <tier/Gossip.h>

#include <algorithm>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(400);
constexpr base::Duration kIndirectTimeout = std::chrono::milliseconds(900);
constexpr base::Duration kExchangeTimeout = std::chrono::seconds(2);
constexpr size_t kHelpers = 2;
constexpr size_t kNewsFanout = 3;
/// Objects that one exchange brings at the most, so that its answer stays small.
constexpr size_t kMostObjects = 64;

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
  message.digest = this->context.objects.Digest(this->Fleet());
  message.leaving = this->context.leaving.List(now);
  message.condemned = this->context.quarantine.ListCondemned(now);
  std::lock_guard<std::mutex> lock(this->mutex);
  message.sender = this->view.self;
  message.rumours = membership::TakeGossipUpdates(this->view, aReceiver, kRumoursPerMessage);
  return message;
}

void
Gossip::TakeIn(const GossipMessage& aMessage)
{
  base::Instant now = base::Now();
  for (const LeavingServer& server : aMessage.leaving) {
    if (this->context.leaving.Note(server.server, server.remaining, now)) {
      telemetry::Log(telemetry::Event::ServerLeaving,
                     { { "server", server.server }, { "heard", aMessage.sender.name } });
    }
  }
  for (const quarantine::QuarantinedRequest& condemned : aMessage.condemned) {
    this->context.quarantine.OnPeerCondemned(condemned, now);
  }
  std::vector<membership::Member> rumours = aMessage.rumours;
  std::vector<std::string> changed;
  int64_t before = 0;
  int64_t after = 0;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    before = this->view.self.incarnation;
    bool known = this->view.others.count(aMessage.sender.name) > 0;
    membership::MemberState stateBefore =
      known ? this->view.others[aMessage.sender.name].member.state : membership::MemberState::Dead;
    membership::OnMessageFrom(this->view, aMessage.sender, now);
    changed = membership::MergeGossipUpdates(this->view, rumours, now);
    if (!known || stateBefore != aMessage.sender.state) {
      changed.push_back(aMessage.sender.name);
    }
    after = this->view.self.incarnation;
  }
  if (after != before) {
    telemetry::Log(telemetry::Event::RumourRefuted, { { "incarnation", after } });
  }
  if (!changed.empty()) {
    this->context.onChange();
  }
}

GossipMessage
Gossip::Answer(const GossipMessage& aMessage)
{
  this->TakeIn(aMessage);
  return this->Compose(aMessage.sender.name);
}

bool
Gossip::Probe(const membership::Member& aTarget)
{
  GossipMessage message = this->Compose(aTarget.name);
  base::Instant asked = base::Now();
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
  this->TakeIn(*reply);
  // Only what was asked for after a thaw is fresh: a peer's own message may have waited in the
  // socket for as long as this process stood still.
  this->context.freshness.OnRefreshed(Source::Peers, asked);
  if (reply->digest != this->context.objects.Digest(this->Fleet())) {
    this->ExchangeObjects(aTarget.address);
  }
  return true;
}

void
Gossip::ProbeThroughOthers(const membership::Member& aTarget)
{
  std::vector<membership::Member> helpers;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    helpers = membership::PickIndirectProbers(this->view, aTarget.name, kHelpers, this->random);
  }
  for (const membership::Member& helper : helpers) {
    Json::Value parameters;
    parameters["address"] = aTarget.address;
    base::Result<Json::Value> answer = this->context.peers.Call(
      helper.address, "probe", parameters, CallOptions{ .timeout = kIndirectTimeout });
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
  Json::Value wanted;
  wanted["names"] = Json::Value(Json::arrayValue);
  for (const std::string& name : versions.getMemberNames()) {
    bool higher = IsPassedOn(name, this->Fleet()) && versions[name].isUInt64() &&
                  versions[name].asUInt64() > this->context.objects.VersionOf(name);
    if (higher && wanted["names"].size() < kMostObjects) {
      wanted["names"].append(name);
    }
  }
  if (wanted["names"].empty()) {
    return;
  }
  base::Result<Json::Value> objects = this->context.peers.Call(
    aAddress, "objects", wanted, CallOptions{ .timeout = kExchangeTimeout });
  if (!objects || !(*objects)["objects"].isObject()) {
    return;
  }
  bool news = false;
  const Json::Value& bodies = (*objects)["objects"];
  for (const std::string& name : bodies.getMemberNames()) {
    const Json::Value& body = bodies[name];
    if (body.isObject() && body["version"].isUInt64()) {
      platform::VersionedValue object{ .version = body["version"].asUInt64(),
                                       .value = body["value"] };
      news = this->context.objects.Offer(name, object) || news;
    }
  }
  if (news) {
    this->context.onChange();
  }
}

void
Gossip::Round(bool aNews)
{
  std::vector<membership::Member> targets;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    size_t wanted = aNews ? kNewsFanout : 1;
    for (size_t index = 0; index < wanted; ++index) {
      std::optional<membership::Member> target = membership::NextProbe(this->view, this->random);
      if (target) {
        targets.push_back(*target);
      }
    }
  }
  if (targets.empty()) {
    // Alone: there is no peer's word to wait for.
    this->context.freshness.OnRefreshed(Source::Peers, base::Now());
    for (const std::string& seed : this->seeds) {
      this->Probe(membership::Member{ .name = seed, .address = seed });
    }
  }
  for (const membership::Member& target : targets) {
    bool probed = this->Probe(target);
    if (!probed && target.state == membership::MemberState::Alive) {
      this->ProbeThroughOthers(target);
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
Gossip::Fleet() const
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
