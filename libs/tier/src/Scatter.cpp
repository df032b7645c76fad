#include <tier/Scatter.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

/// An owner of which nothing was heard for this long while it has a query is pinged: a long answer
/// and a frozen process look alike until then.
constexpr base::Duration kPingAfter = std::chrono::milliseconds(50);
/// One that does not answer the ping either is silent.
constexpr base::Duration kSilence = std::chrono::milliseconds(150);
constexpr base::Duration kSilenceCheck = std::chrono::milliseconds(20);
/// Kept back from the deadline for merging and the way back.
constexpr base::Duration kReturnMargin = std::chrono::milliseconds(1);
/// Kept back from the deadline given to an owner.
constexpr base::Duration kOwnerMargin = std::chrono::milliseconds(3);
constexpr size_t kMaxHops = 3;

/// The state of one query's scatter, shared with the tasks that may outlive it.
struct Session
{
  std::mutex mutex;
  std::condition_variable changed;
  ScatterOutcome outcome;
  /// Instances asked for each group.
  std::map<std::string, std::set<std::string>> asked;
  size_t pendingGroups = 0;
  bool closed = false;
};

/// One message to one owner.
struct Message
{
  std::string owner;
  std::string address;
  std::vector<model::GroupTask> groups;
  base::Instant sentAt{};
  std::atomic<bool> answered{ false };
  bool backedUp = false;
};

/// Takes an answer in; of two answers for a group the one that covers more counts.
void
TakeIn(Session& aSession, const model::ScatterResponse& aAnswer, size_t aTop)
{
  std::lock_guard<std::mutex> lock(aSession.mutex);
  if (aSession.closed) {
    return;
  }
  for (const model::GroupResult& group : aAnswer.groups) {
    auto [entry, added] = aSession.outcome.groups.try_emplace(group.group, group);
    if (added) {
      --aSession.pendingGroups;
    } else if (group.shards.size() > entry->second.shards.size()) {
      entry->second = group;
    }
  }
  aSession.outcome.hits = model::MergeTop(std::move(aSession.outcome.hits), aAnswer.hits, aTop);
  aSession.changed.notify_all();
}

model::ScatterResponse
AllFailed(const std::vector<model::GroupTask>& aGroups, model::Outcome aOutcome)
{
  model::ScatterResponse answer;
  for (const model::GroupTask& task : aGroups) {
    answer.groups.push_back(model::GroupResult{ .group = task.group,
                                                .outcome = aOutcome,
                                                .shards = {},
                                                .error = model::Errc::NoReplica,
                                                .queueWait = base::Duration(0) });
  }
  return answer;
}

/// The sending side; lives until its last task ends.
struct Sender : std::enable_shared_from_this<Sender>
{
  Sender(ScatterContext& aContext,
         AvoidedPeers& aAvoidedPeers,
         WorldPointer aWorld,
         model::ScatterRequest aRequest,
         base::Instant aDeadline)
    : context(aContext)
    , avoided(aAvoidedPeers)
    , world(std::move(aWorld))
    , request(std::move(aRequest))
    , deadline(aDeadline)
  {
  }

  /// Sends the canary's group alone and waits until the request shows to be harmless there. False
  /// when it does not: the other groups must not be asked.
  bool SendCanary(const Canary& aCanary)
  {
    std::vector<model::GroupTask> first;
    for (const model::GroupTask& task : this->request.groups) {
      if (task.group == aCanary.group) {
        first.push_back(task);
      }
    }
    this->canary = true;
    this->Send(first, model::Outcome::NotRun);
    this->canary = false;
    if (!aCanary.strict) {
      this->AskSurvival(aCanary.group);
    }
    std::unique_lock<std::mutex> lock(this->session.mutex);
    this->session.changed.wait_until(lock, this->deadline - kReturnMargin, [&] {
      return this->survived || this->session.outcome.groups.count(aCanary.group) > 0;
    });
    auto answer = this->session.outcome.groups.find(aCanary.group);
    if (answer == this->session.outcome.groups.end()) {
      return this->survived;
    }
    // A group that could not be asked at all proves nothing, but must not hold up the others.
    bool neverRan = answer->second.outcome == model::Outcome::NotRun &&
                    answer->second.error != model::Errc::Suspect;
    return this->survived || neverRan || !answer->second.shards.empty();
  }

  /// Asks the canary's owner, in the background, whether the request survives there.
  void AskSurvival(const std::string& aGroup)
  {
    std::shared_ptr<Message> message;
    {
      std::lock_guard<std::mutex> lock(this->session.mutex);
      if (this->messages.empty()) {
        return;
      }
      message = this->messages.back();
    }
    auto self = this->shared_from_this();
    this->context.executor.Submit([self, message, aGroup] {
      if (!self->SurvivesAt(*message, aGroup)) {
        return;
      }
      std::lock_guard<std::mutex> lock(self->session.mutex);
      self->survived = true;
      self->session.changed.notify_all();
    });
  }

  bool SurvivesAt(const Message& aMessage, const std::string& aGroup)
  {
    if (aMessage.owner == this->context.self) {
      return this->context.cells.WaitSurvival(
        this->request.service, aGroup, this->request.requestId, this->deadline);
    }
    base::Duration remaining = this->deadline - base::Now();
    Json::Value parameters;
    parameters["service"] = this->request.service;
    parameters["group"] = aGroup;
    parameters["request"] = this->request.requestId;
    parameters["remaining_us"] = static_cast<Json::Int64>(remaining.count());
    base::Result<Json::Value> answer = this->context.peers.Call(
      aMessage.address, "survival", parameters, CallOptions{ .timeout = remaining });
    return answer && (*answer)["survived"].isBool() && (*answer)["survived"].asBool();
  }

  std::string Choose(const std::string& aGroup, base::Instant aNow)
  {
    if (this->context.experiment.dispatch == config::DispatchMode::Direct) {
      return this->session.asked[aGroup].empty() ? this->context.self : std::string();
    }
    const ServiceWorld* service = this->world->FindService(this->request.service);
    const routing::GroupRoute* route = service ? service->assignment.RouteOf(aGroup) : nullptr;
    if (!route) {
      return {};
    }
    std::set<std::string> avoidedNames;
    for (const std::string& name : route->owners) {
      if (this->avoided.IsAvoided(name, aNow)) {
        avoidedNames.insert(name);
      }
    }
    // Groups of one bundle go to one sharer, so the choice is made once a bundle.
    auto chosen = this->chosenForBundle.find(route->bundle);
    if (chosen != this->chosenForBundle.end() && this->session.asked[aGroup].empty() &&
        !avoidedNames.count(chosen->second)) {
      return chosen->second;
    }
    std::string owner =
      ChooseOwner(*route, this->session.asked[aGroup], avoidedNames, base::ThreadRandom());
    if (this->session.asked[aGroup].empty() && !owner.empty()) {
      this->chosenForBundle[route->bundle] = owner;
    }
    return owner;
  }

  /// Sorts groups by the instance to ask and sends one message to each. Groups that nobody is left
  /// for are answered as failed.
  void Send(const std::vector<model::GroupTask>& aGroups, model::Outcome aIfNobody)
  {
    base::Instant now = base::Now();
    std::map<std::string, std::vector<model::GroupTask>> byOwner;
    std::vector<model::GroupTask> nobody;
    {
      std::lock_guard<std::mutex> lock(this->session.mutex);
      for (const model::GroupTask& task : aGroups) {
        std::string owner = this->Choose(task.group, now);
        bool tooManyHops = this->session.asked[task.group].size() >= kMaxHops;
        if (owner.empty() || tooManyHops) {
          nobody.push_back(task);
          continue;
        }
        this->session.asked[task.group].insert(owner);
        byOwner[owner].push_back(task);
      }
    }
    if (!nobody.empty()) {
      TakeIn(this->session, AllFailed(nobody, aIfNobody), this->request.top);
    }
    for (auto& [owner, groups] : byOwner) {
      this->SendTo(owner, std::move(groups));
    }
  }

  void SendTo(const std::string& aOwner, std::vector<model::GroupTask> aGroups)
  {
    auto message = std::make_shared<Message>();
    message->owner = aOwner;
    message->groups = std::move(aGroups);
    message->sentAt = base::Now();
    auto address = this->world->addresses.find(aOwner);
    message->address = address == this->world->addresses.end() ? std::string() : address->second;
    {
      std::lock_guard<std::mutex> lock(this->session.mutex);
      this->messages.push_back(message);
    }
    model::ScatterRequest part = this->request;
    part.groups = message->groups;
    // The owner ends a little earlier, so that what it has by then comes back in time.
    part.remaining = this->deadline - message->sentAt - kOwnerMargin;
    part.canary = this->canary;
    auto self = this->shared_from_this();
    if (aOwner == this->context.self) {
      this->context.cells.Scatter(
        part, this->deadline, [self, message](model::ScatterResponse aAnswer) {
          message->answered = true;
          TakeIn(self->session, aAnswer, self->request.top);
        });
      return;
    }
    this->context.executor.Submit(
      [self, message, part = std::move(part)] { self->CallPeer(*message, part); });
  }

  void CallPeer(Message& aMessage, const model::ScatterRequest& aPart)
  {
    CallOptions options{ .timeout = std::max(this->deadline - base::Now(), base::Duration(1000)) };
    base::Result<Json::Value> result =
      this->context.peers.Call(aMessage.address, "scatter", model::ToJson(aPart), options);
    aMessage.answered = true;
    std::optional<model::ScatterResponse> answer =
      result ? model::ScatterResponseFromJson(*result) : std::nullopt;
    if (answer) {
      TakeIn(this->session, *answer, this->request.top);
      return;
    }
    base::Instant now = base::Now();
    bool nothingRan = !result && (result.Error().code == PeerErrc::Unreachable ||
                                  result.Error().code == PeerErrc::Refused);
    // A peer that talks to others is there: this answer was late, and passing the peer over would
    // only move its load to standbys, which have less room.
    bool talks = now - this->context.peers.LastAnswer(aMessage.address) < kSilence;
    bool gone = !result && (result.Error().code == PeerErrc::Unreachable ||
                            (result.Error().code == PeerErrc::Lost && !talks));
    if (gone) {
      this->avoided.Note(aMessage.owner, now);
      telemetry::Log(telemetry::Event::PeerUnreachable,
                     { { "peer", aMessage.owner }, { "why", result.Error().code.message() } });
    }
    model::Outcome outcome = nothingRan ? model::Outcome::NotRun : model::Outcome::Unknown;
    if (now < this->deadline) {
      this->Send(this->Unanswered(aMessage.groups), outcome);
    }
  }

  std::vector<model::GroupTask> Unanswered(const std::vector<model::GroupTask>& aGroups)
  {
    std::lock_guard<std::mutex> lock(this->session.mutex);
    std::vector<model::GroupTask> open;
    for (const model::GroupTask& task : aGroups) {
      if (!this->session.outcome.groups.count(task.group)) {
        open.push_back(task);
      }
    }
    return open;
  }

  /// Asks an owner for any word at all; its answer counts as heard by itself.
  void Ping(const Message& aMessage, base::Instant aNow)
  {
    if (!this->avoided.TakePing(aMessage.owner, aNow)) {
      return;
    }
    this->context.executor.Submit([self = this->shared_from_this(), address = aMessage.address] {
      self->context.peers.Call(
        address, "ping", Json::Value(Json::objectValue), CallOptions{ .timeout = kPingTimeout });
    });
  }

  /// Groups whose owner has fallen silent, each reported once.
  std::vector<model::GroupTask> TakeSilent(base::Instant aNow)
  {
    std::vector<model::GroupTask> silent;
    for (const std::shared_ptr<Message>& message : this->messages) {
      bool remote = message->owner != this->context.self;
      if (!remote || message->answered || message->backedUp) {
        continue;
      }
      base::Duration quiet =
        aNow - std::max(message->sentAt, this->context.peers.LastAnswer(message->address));
      if (quiet >= kPingAfter) {
        this->Ping(*message, aNow);
      }
      if (quiet < kSilence) {
        continue;
      }
      message->backedUp = true;
      this->avoided.Note(message->owner, aNow);
      silent.insert(silent.end(), message->groups.begin(), message->groups.end());
    }
    return silent;
  }

  ScatterOutcome Wait()
  {
    base::Instant end = this->deadline - kReturnMargin;
    std::unique_lock<std::mutex> lock(this->session.mutex);
    while (this->session.pendingGroups > 0 && base::Now() < end) {
      this->session.changed.wait_until(lock, std::min(end, base::Now() + kSilenceCheck));
      std::vector<model::GroupTask> silent = this->TakeSilent(base::Now());
      if (!silent.empty()) {
        lock.unlock();
        this->Send(this->Unanswered(silent), model::Outcome::Unknown);
        lock.lock();
      }
    }
    this->session.closed = true;
    return std::move(this->session.outcome);
  }

  /// Ends without asking the groups that are left.
  ScatterOutcome Close()
  {
    std::lock_guard<std::mutex> lock(this->session.mutex);
    this->session.closed = true;
    return std::move(this->session.outcome);
  }

  ScatterContext& context;
  AvoidedPeers& avoided;
  const WorldPointer world;
  const model::ScatterRequest request;
  const base::Instant deadline;
  Session session;
  /// Set while the canary's group is being sent.
  bool canary = false;
  bool survived = false;
  std::vector<std::shared_ptr<Message>> messages;
  std::map<size_t, std::string> chosenForBundle;
};

} // namespace

ScatterOutcome
RunScatter(ScatterContext& aContext,
           AvoidedPeers& aAvoided,
           const WorldPointer& aWorld,
           const model::ScatterRequest& aRequest,
           const Canary& aCanary,
           base::Instant aDeadline)
{
  auto sender = std::make_shared<Sender>(aContext, aAvoided, aWorld, aRequest, aDeadline);
  sender->session.pendingGroups = aRequest.groups.size();
  std::vector<model::GroupTask> rest = aRequest.groups;
  if (!aCanary.group.empty()) {
    std::erase_if(rest,
                  [&](const model::GroupTask& aTask) { return aTask.group == aCanary.group; });
    if (!sender->SendCanary(aCanary)) {
      return sender->Close();
    }
  }
  sender->Send(rest, model::Outcome::NotRun);
  return sender->Wait();
}

} // namespace sapphirewind::tier
