#include <tier/Scatter.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

/// An owner that has a query and has sent nothing for this long is pinged, to distinguish a slow
/// query from a suspended process.
constexpr base::Duration kPingDelay = std::chrono::milliseconds(50);
/// An owner that has sent nothing for this long, not even an answer to a ping, is unresponsive.
constexpr base::Duration kUnresponsiveTimeout = std::chrono::milliseconds(150);
constexpr base::Duration kUnresponsiveCheckInterval = std::chrono::milliseconds(20);
/// Time before the deadline that is reserved for merging and returning the answer.
constexpr base::Duration kMergeMargin = std::chrono::milliseconds(1);
/// Difference between the query's deadline and the earlier deadline that is sent to an owner.
constexpr base::Duration kOwnerDeadlineMargin = std::chrono::milliseconds(3);
constexpr size_t kMaxInstancesPerGroup = 3;

/// The state of one query's scatter, shared with background tasks that may outlive it.
struct Session
{
  std::mutex mutex;
  std::condition_variable changed;
  ScatterOutcome outcome;
  /// Instances that were queried for each group.
  std::map<std::string, std::set<std::string>> queried;
  size_t pendingGroups = 0;
  bool closed = false;
};

/// A scatter message to one owner.
struct Message
{
  std::string owner;
  std::string address;
  std::vector<model::GroupTask> groups;
  base::Instant sentAt{};
  std::atomic<bool> answered{ false };
  bool failedOver = false;
};

/// Merges an answer into the outcome. Of two answers for a group, the one with more shards is kept.
void
MergeAnswer(Session& aSession, const model::ScatterResponse& aAnswer, size_t aTop)
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
FailedAnswer(const std::vector<model::GroupTask>& aGroups, model::Outcome aOutcome)
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

/// Sends the messages of one query and collects the answers. Kept alive by its background tasks.
struct ScatterCoordinator : std::enable_shared_from_this<ScatterCoordinator>
{
  ScatterCoordinator(ScatterContext& aContext,
                     AvoidedPeers& aAvoidedPeers,
                     ServingStatePointer aState,
                     model::ScatterRequest aRequest,
                     base::Instant aDeadline)
    : context(aContext)
    , avoided(aAvoidedPeers)
    , servingState(std::move(aState))
    , request(std::move(aRequest))
    , deadline(aDeadline)
  {
  }

  /// Queries the canary's group alone and waits until the request is shown to be harmless there.
  /// Returns false if it is not; the other groups must not be queried then.
  bool SendCanary(const Canary& aCanary)
  {
    std::vector<model::GroupTask> canaryGroups;
    for (const model::GroupTask& task : this->request.groups) {
      if (task.group == aCanary.group) {
        canaryGroups.push_back(task);
      }
    }
    this->sendingCanary = true;
    this->Send(canaryGroups, model::Outcome::NotRun);
    this->sendingCanary = false;
    if (!aCanary.strict) {
      this->QueryCanaryState(aCanary.group);
    }
    std::unique_lock<std::mutex> lock(this->session.mutex);
    this->session.changed.wait_until(lock, this->deadline - kMergeMargin, [&] {
      return this->canaryPassed || this->session.outcome.groups.count(aCanary.group) > 0;
    });
    auto answer = this->session.outcome.groups.find(aCanary.group);
    if (answer == this->session.outcome.groups.end()) {
      return this->canaryPassed;
    }
    // A group that did not run the query proves nothing, but must not block the others.
    bool neverRan = answer->second.outcome == model::Outcome::NotRun &&
                    answer->second.error != model::Errc::Suspect;
    return this->canaryPassed || neverRan || !answer->second.shards.empty();
  }

  /// Waits in the background until the canary's owner reports that the request has passed.
  void QueryCanaryState(const std::string& aGroup)
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
      if (!self->CanaryPassesAt(*message, aGroup)) {
        return;
      }
      std::lock_guard<std::mutex> lock(self->session.mutex);
      self->canaryPassed = true;
      self->session.changed.notify_all();
    });
  }

  bool CanaryPassesAt(const Message& aMessage, const std::string& aGroup)
  {
    if (aMessage.owner == this->context.self) {
      return this->context.cells.WaitForCanary(
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

  std::string ChooseInstance(const std::string& aGroup, base::Instant aNow)
  {
    if (this->context.experiment.dispatch == config::DispatchMode::Direct) {
      return this->session.queried[aGroup].empty() ? this->context.self : std::string();
    }
    const ServiceState* service = this->servingState->FindService(this->request.service);
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
    // All groups of a bundle are sent to the same owner, so the choice is made once per bundle.
    auto chosen = this->instanceByBundle.find(route->bundle);
    if (chosen != this->instanceByBundle.end() && this->session.queried[aGroup].empty() &&
        !avoidedNames.count(chosen->second)) {
      return chosen->second;
    }
    std::string owner =
      ChooseOwner(*route, this->session.queried[aGroup], avoidedNames, base::ThreadRandom());
    if (this->session.queried[aGroup].empty() && !owner.empty()) {
      this->instanceByBundle[route->bundle] = owner;
    }
    return owner;
  }

  /// Assigns the groups to instances and sends one message to each instance. Groups for which no
  /// instance is left are answered as failed, with the given outcome.
  void Send(const std::vector<model::GroupTask>& aGroups, model::Outcome aUnroutableOutcome)
  {
    base::Instant now = base::Now();
    std::map<std::string, std::vector<model::GroupTask>> byOwner;
    std::vector<model::GroupTask> unroutable;
    {
      std::lock_guard<std::mutex> lock(this->session.mutex);
      for (const model::GroupTask& task : aGroups) {
        std::string owner = this->ChooseInstance(task.group, now);
        bool limitReached = this->session.queried[task.group].size() >= kMaxInstancesPerGroup;
        if (owner.empty() || limitReached) {
          unroutable.push_back(task);
          continue;
        }
        this->session.queried[task.group].insert(owner);
        byOwner[owner].push_back(task);
      }
    }
    if (!unroutable.empty()) {
      MergeAnswer(this->session, FailedAnswer(unroutable, aUnroutableOutcome), this->request.top);
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
    auto address = this->servingState->instanceAddresses.find(aOwner);
    message->address =
      address == this->servingState->instanceAddresses.end() ? std::string() : address->second;
    {
      std::lock_guard<std::mutex> lock(this->session.mutex);
      this->messages.push_back(message);
    }
    model::ScatterRequest part = this->request;
    part.groups = message->groups;
    // The owner's deadline is earlier, so that its partial answer arrives in time.
    part.remaining = this->deadline - message->sentAt - kOwnerDeadlineMargin;
    part.canary = this->sendingCanary;
    auto self = this->shared_from_this();
    if (aOwner == this->context.self) {
      this->context.cells.Scatter(
        part, this->deadline, [self, message](model::ScatterResponse aAnswer) {
          message->answered = true;
          MergeAnswer(self->session, aAnswer, self->request.top);
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
      MergeAnswer(this->session, *answer, this->request.top);
      return;
    }
    base::Instant now = base::Now();
    bool provenNotRun = !result && (result.Error().code == PeerErrc::Unreachable ||
                                    result.Error().code == PeerErrc::Refused);
    // A peer that answered another call recently is reachable: only this answer is late. Avoiding
    // the peer would move its load to standbys, which have less capacity.
    bool recentlyAnswered =
      now - this->context.peers.LastAnswer(aMessage.address) < kUnresponsiveTimeout;
    bool unreachable = !result && (result.Error().code == PeerErrc::Unreachable ||
                                   (result.Error().code == PeerErrc::Lost && !recentlyAnswered));
    if (unreachable) {
      this->avoided.MarkUnreachable(aMessage.owner, now);
      telemetry::Log(telemetry::Event::PeerUnreachable,
                     { { "peer", aMessage.owner }, { "why", result.Error().code.message() } });
    }
    model::Outcome outcome = provenNotRun ? model::Outcome::NotRun : model::Outcome::Unknown;
    if (now < this->deadline) {
      this->Send(this->Unanswered(aMessage.groups), outcome);
    }
  }

  std::vector<model::GroupTask> Unanswered(const std::vector<model::GroupTask>& aGroups)
  {
    std::lock_guard<std::mutex> lock(this->session.mutex);
    std::vector<model::GroupTask> unanswered;
    for (const model::GroupTask& task : aGroups) {
      if (!this->session.outcome.groups.count(task.group)) {
        unanswered.push_back(task);
      }
    }
    return unanswered;
  }

  /// Pings an owner. The answer updates PeerClient::LastAnswer, so the result is not used here.
  void Ping(const Message& aMessage, base::Instant aNow)
  {
    if (!this->avoided.TryStartPing(aMessage.owner, aNow)) {
      return;
    }
    this->context.executor.Submit([self = this->shared_from_this(), address = aMessage.address] {
      self->context.peers.Call(
        address, "ping", Json::Value(Json::objectValue), CallOptions{ .timeout = kPingTimeout });
    });
  }

  /// Returns the groups whose owner has become unresponsive, and marks their messages as failed
  /// over, so that each is returned once.
  std::vector<model::GroupTask> ExtractUnresponsive(base::Instant aNow)
  {
    std::vector<model::GroupTask> unresponsive;
    for (const std::shared_ptr<Message>& message : this->messages) {
      bool remote = message->owner != this->context.self;
      if (!remote || message->answered || message->failedOver) {
        continue;
      }
      base::Duration sinceLastAnswer =
        aNow - std::max(message->sentAt, this->context.peers.LastAnswer(message->address));
      if (sinceLastAnswer >= kPingDelay) {
        this->Ping(*message, aNow);
      }
      if (sinceLastAnswer < kUnresponsiveTimeout) {
        continue;
      }
      message->failedOver = true;
      this->avoided.MarkUnreachable(message->owner, aNow);
      unresponsive.insert(unresponsive.end(), message->groups.begin(), message->groups.end());
    }
    return unresponsive;
  }

  ScatterOutcome Wait()
  {
    base::Instant end = this->deadline - kMergeMargin;
    std::unique_lock<std::mutex> lock(this->session.mutex);
    while (this->session.pendingGroups > 0 && base::Now() < end) {
      this->session.changed.wait_until(lock,
                                       std::min(end, base::Now() + kUnresponsiveCheckInterval));
      std::vector<model::GroupTask> unresponsive = this->ExtractUnresponsive(base::Now());
      if (!unresponsive.empty()) {
        lock.unlock();
        this->Send(this->Unanswered(unresponsive), model::Outcome::Unknown);
        lock.lock();
      }
    }
    this->session.closed = true;
    return std::move(this->session.outcome);
  }

  /// Ends the scatter without querying the remaining groups.
  ScatterOutcome Close()
  {
    std::lock_guard<std::mutex> lock(this->session.mutex);
    this->session.closed = true;
    return std::move(this->session.outcome);
  }

  ScatterContext& context;
  AvoidedPeers& avoided;
  const ServingStatePointer servingState;
  const model::ScatterRequest request;
  const base::Instant deadline;
  Session session;
  /// Set while the message to the canary's group is sent.
  bool sendingCanary = false;
  bool canaryPassed = false;
  std::vector<std::shared_ptr<Message>> messages;
  std::map<size_t, std::string> instanceByBundle;
};

} // namespace

ScatterOutcome
RunScatter(ScatterContext& aContext,
           AvoidedPeers& aAvoided,
           const ServingStatePointer& aState,
           const model::ScatterRequest& aRequest,
           const Canary& aCanary,
           base::Instant aDeadline)
{
  auto coordinator =
    std::make_shared<ScatterCoordinator>(aContext, aAvoided, aState, aRequest, aDeadline);
  coordinator->session.pendingGroups = aRequest.groups.size();
  std::vector<model::GroupTask> rest = aRequest.groups;
  if (!aCanary.group.empty()) {
    std::erase_if(rest,
                  [&](const model::GroupTask& aTask) { return aTask.group == aCanary.group; });
    if (!coordinator->SendCanary(aCanary)) {
      return coordinator->Close();
    }
  }
  coordinator->Send(rest, model::Outcome::NotRun);
  return coordinator->Wait();
}

} // namespace sapphirewind::tier
