#include <tier/Scatter.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kAvoidTime = std::chrono::milliseconds(1000);
/// An owner that answered nobody for this long while it has a query is taken to be silent.
constexpr base::Duration kSilence = std::chrono::milliseconds(60);
constexpr base::Duration kSilenceCheck = std::chrono::milliseconds(20);
/// Kept back from the deadline for merging and the way back.
constexpr base::Duration kReturnMargin = std::chrono::milliseconds(1);
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
TakeIn(Session& aSession, const model::ScatterAnswer& aAnswer, size_t aTop)
{
  std::lock_guard<std::mutex> lock(aSession.mutex);
  if (aSession.closed) {
    return;
  }
  for (const model::GroupAnswer& group : aAnswer.groups) {
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

model::ScatterAnswer
AllFailed(const std::vector<model::GroupTask>& aGroups, model::Outcome aOutcome)
{
  model::ScatterAnswer answer;
  for (const model::GroupTask& task : aGroups) {
    answer.groups.push_back(model::GroupAnswer{ .group = task.group,
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

  std::string Choose(const std::string& aGroup, base::Instant aNow)
  {
    if (this->context.experiment.dispatch == config::Dispatch::Direct) {
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
    part.remaining = this->deadline - message->sentAt;
    auto self = this->shared_from_this();
    if (aOwner == this->context.self) {
      this->context.cells.Scatter(
        part, this->deadline, [self, message](model::ScatterAnswer aAnswer) {
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
    std::optional<model::ScatterAnswer> answer =
      result ? model::ScatterAnswerFromJson(*result) : std::nullopt;
    if (answer) {
      TakeIn(this->session, *answer, this->request.top);
      return;
    }
    base::Instant now = base::Now();
    bool nothingRan = !result && (result.Error().code == PeerErrc::Unreachable ||
                                  result.Error().code == PeerErrc::Refused);
    if (!result && result.Error().code != PeerErrc::Refused) {
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

  /// Groups whose owner has fallen silent, each reported once.
  std::vector<model::GroupTask> TakeSilent(base::Instant aNow)
  {
    std::vector<model::GroupTask> silent;
    for (const std::shared_ptr<Message>& message : this->messages) {
      bool remote = message->owner != this->context.self;
      if (!remote || message->answered || message->backedUp || aNow - message->sentAt < kSilence) {
        continue;
      }
      base::Instant lastWord =
        std::max(message->sentAt, this->context.peers.LastAnswer(message->address));
      if (aNow - lastWord < kSilence) {
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

  ScatterContext& context;
  AvoidedPeers& avoided;
  const WorldPointer world;
  const model::ScatterRequest request;
  const base::Instant deadline;
  Session session;
  std::vector<std::shared_ptr<Message>> messages;
  std::map<size_t, std::string> chosenForBundle;
};

} // namespace

void
AvoidedPeers::Note(const std::string& aName, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->until[aName] = aNow + kAvoidTime;
}

bool
AvoidedPeers::IsAvoided(const std::string& aName, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->until.find(aName);
  return found != this->until.end() && aNow < found->second;
}

std::string
ChooseOwner(const routing::GroupRoute& aRoute,
            const std::set<std::string>& aExcluded,
            const std::set<std::string>& aAvoided,
            base::Random& aRandom)
{
  std::vector<std::string> reachable;
  for (const std::string& name : aRoute.owners) {
    if (!aExcluded.count(name) && !aAvoided.count(name)) {
      reachable.push_back(name);
    }
  }
  if (!reachable.empty()) {
    return reachable[base::UniformIndex(aRandom, reachable.size())];
  }
  for (const std::string& name : aRoute.standbys) {
    if (!aExcluded.count(name)) {
      return name;
    }
  }
  // Only avoided owners are left; one of them may have come back.
  for (const std::string& name : aRoute.owners) {
    if (!aExcluded.count(name)) {
      return name;
    }
  }
  return {};
}

ScatterOutcome
RunScatter(ScatterContext& aContext,
           AvoidedPeers& aAvoided,
           const WorldPointer& aWorld,
           const model::ScatterRequest& aRequest,
           base::Instant aDeadline)
{
  auto sender = std::make_shared<Sender>(aContext, aAvoided, aWorld, aRequest, aDeadline);
  sender->session.pendingGroups = aRequest.groups.size();
  sender->Send(aRequest.groups, model::Outcome::NotRun);
  return sender->Wait();
}

} // namespace sapphirewind::tier
