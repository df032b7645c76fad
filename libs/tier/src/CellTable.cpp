#include <tier/CellTable.h>

#include <base/Random.h>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kCanaryPollInterval = std::chrono::milliseconds(1);
constexpr base::Duration kCanaryArrivalTimeout = std::chrono::milliseconds(20);
constexpr base::Duration kIdleCloseDelay = std::chrono::seconds(10);

/// Collects the answers of one query's groups.
struct AnswerCollector
{
  std::mutex mutex;
  model::ScatterResponse answer;
  size_t pending = 0;
  size_t top = 0;
  std::function<void(model::ScatterResponse)> done;
};

void
AddAnswer(AnswerCollector& aCollector, model::GroupResult aAnswer, std::vector<model::Hit> aHits)
{
  std::vector<model::Hit> ordered = model::SortTop(std::move(aHits), aCollector.top);
  std::unique_lock<std::mutex> lock(aCollector.mutex);
  model::ScatterResponse& answer = aCollector.answer;
  answer.groups.push_back(std::move(aAnswer));
  answer.hits = model::MergeTop(std::move(answer.hits), std::move(ordered), aCollector.top);
  if (--aCollector.pending == 0) {
    lock.unlock();
    aCollector.done(std::move(answer));
  }
}

model::GroupResult
UnknownGroupAnswer(const std::string& aGroup)
{
  return model::GroupResult{ .group = aGroup,
                             .outcome = model::Outcome::NotRun,
                             .shards = {},
                             .error = model::Errc::NoReplica,
                             .queueWait = base::Duration(0) };
}

const std::vector<model::ServerRecord>*
ServersOf(const ServingState& aState, const std::string& aService, const std::string& aGroup)
{
  const ServiceState* service = aState.FindService(aService);
  if (!service) {
    return nullptr;
  }
  auto servers = service->serversByGroup.find(aGroup);
  return servers == service->serversByGroup.end() ? nullptr : &servers->second;
}

} // namespace

CellRole
RoleFor(const ServiceState& aService,
        const std::string& aGroup,
        const std::string& aSelf,
        const config::Experiment& aExperiment,
        size_t aServingInstances)
{
  if (aExperiment.dispatch == config::DispatchMode::Direct) {
    return CellRole{ .owner = true, .sharers = aServingInstances };
  }
  return CellRole{ .owner = aService.assignment.Owns(aSelf, aGroup),
                   .sharers = aService.assignment.Plan().sharers };
}

CellTable::CellTable(CellContext& aContext, ServingStateHolder& aState, std::string aSelf)
  : context(aContext)
  , servingState(aState)
  , self(std::move(aSelf))
{
}

CellTable::Stripe&
CellTable::StripeOf(const Key& aKey)
{
  return this->stripes[base::CombineHash(base::Hash64(aKey.service), aKey.group) % kStripes];
}

std::shared_ptr<Cell>
CellTable::FindOrCreate(const ServingState& aState, const Key& aKey)
{
  const std::vector<model::ServerRecord>* servers = ServersOf(aState, aKey.service, aKey.group);
  if (!servers) {
    return nullptr;
  }
  Stripe& stripe = this->StripeOf(aKey);
  std::lock_guard<std::mutex> lock(stripe.mutex);
  std::shared_ptr<Cell>& cell = stripe.cells[aKey];
  if (!cell) {
    CellRole role = RoleFor(*aState.FindService(aKey.service),
                            aKey.group,
                            this->self,
                            this->context.experiment,
                            aState.servingInstances.size());
    cell = std::make_shared<Cell>(this->context, aKey.service, aKey.group, role, *servers);
    telemetry::Log(telemetry::Event::CellOpened,
                   { { "service", aKey.service },
                     { "group", aKey.group },
                     { "owner", role.owner ? "yes" : "no" } });
  }
  return cell;
}

void
CellTable::Scatter(const model::ScatterRequest& aRequest,
                   base::Instant aDeadline,
                   std::function<void(model::ScatterResponse)> aDone)
{
  ServingStatePointer current = this->servingState.Get();
  auto collector = std::make_shared<AnswerCollector>();
  collector->pending = aRequest.groups.size();
  collector->top = aRequest.top;
  collector->done = std::move(aDone);
  if (aRequest.groups.empty()) {
    collector->done({});
    return;
  }
  for (const model::GroupTask& task : aRequest.groups) {
    std::shared_ptr<Cell> cell =
      this->FindOrCreate(*current, Key{ .service = aRequest.service, .group = task.group });
    if (!cell) {
      AddAnswer(*collector, UnknownGroupAnswer(task.group), {});
      continue;
    }
    SearchTask search{ .requestId = aRequest.requestId,
                       .service = aRequest.service,
                       .snapshot = aRequest.snapshot,
                       .query = aRequest.query,
                       .shards = task.shards,
                       .top = aRequest.top,
                       .policy = aRequest.policy,
                       .deadline = aDeadline,
                       .canary = aRequest.canary,
                       .done = [collector](model::GroupResult aAnswer,
                                           std::vector<model::Hit> aHits) {
                         AddAnswer(*collector, std::move(aAnswer), std::move(aHits));
                       } };
    cell->Submit(std::move(search));
  }
}

void
CellTable::Book(const model::BookingTask& aTask,
                base::Instant aDeadline,
                std::function<void(model::BookingResult)> aDone)
{
  std::shared_ptr<Cell> cell = this->FindOrCreate(
    *this->servingState.Get(), Key{ .service = aTask.service, .group = aTask.group });
  if (!cell) {
    aDone(model::BookingResult{
      .outcome = model::Outcome::NotRun, .receipt = {}, .error = model::Errc::NoReplica });
    return;
  }
  cell->Submit(BookingWork{ .task = aTask, .deadline = aDeadline, .done = std::move(aDone) });
}

std::vector<std::string>
CellTable::GroupsWithoutSnapshot(const std::string& aService,
                                 const std::string& aSnapshot,
                                 const std::vector<std::string>& aGroups)
{
  ServingStatePointer current = this->servingState.Get();
  std::vector<std::string> withoutSnapshot;
  for (const std::string& group : aGroups) {
    std::shared_ptr<Cell> cell =
      this->FindOrCreate(*current, Key{ .service = aService, .group = group });
    if (!cell || !cell->HasSnapshot(aSnapshot)) {
      withoutSnapshot.push_back(group);
    }
  }
  return withoutSnapshot;
}

bool
CellTable::WaitForCanary(const std::string& aService,
                         const std::string& aGroup,
                         const std::string& aRequestId,
                         base::Instant aDeadline)
{
  std::shared_ptr<Cell> cell =
    this->FindOrCreate(*this->servingState.Get(), Key{ .service = aService, .group = aGroup });
  // This call may arrive shortly before the request itself. A request that was present and is now
  // absent has finished.
  base::Instant arrivalDeadline = base::Now() + kCanaryArrivalTimeout;
  bool seen = false;
  while (cell && base::Now() < aDeadline) {
    Cell::CanaryState state = cell->CanaryStateOf(aRequestId, base::Now());
    bool absent = state == Cell::CanaryState::Absent;
    if (state == Cell::CanaryState::Passed || state == Cell::CanaryState::ServerLost) {
      return state == Cell::CanaryState::Passed;
    }
    if (absent && (seen || base::Now() >= arrivalDeadline)) {
      return false;
    }
    seen = seen || !absent;
    std::this_thread::sleep_for(kCanaryPollInterval);
  }
  return false;
}

void
CellTable::Apply(const ServingState& aState, base::Instant aNow)
{
  bool direct = this->context.experiment.dispatch == config::DispatchMode::Direct;
  for (const auto& [name, service] : aState.services) {
    for (const auto& [group, servers] : service.serversByGroup) {
      if (direct || service.assignment.Owns(this->self, group)) {
        this->FindOrCreate(aState, Key{ .service = name, .group = group });
      }
    }
  }
  std::vector<std::shared_ptr<Cell>> closing;
  for (Stripe& stripe : this->stripes) {
    std::lock_guard<std::mutex> lock(stripe.mutex);
    for (auto entry = stripe.cells.begin(); entry != stripe.cells.end();) {
      const Key& key = entry->first;
      const std::vector<model::ServerRecord>* servers = ServersOf(aState, key.service, key.group);
      CellRole role{ .owner = false, .sharers = 1 };
      if (servers) {
        role = RoleFor(*aState.FindService(key.service),
                       key.group,
                       this->self,
                       this->context.experiment,
                       aState.servingInstances.size());
      }
      std::optional<base::Instant> idleSince = entry->second->IdleSince();
      bool idle = idleSince && aNow - *idleSince >= kIdleCloseDelay;
      if (!role.owner && idle && entry->second.use_count() == 1) {
        telemetry::Log(telemetry::Event::CellClosed,
                       { { "service", key.service }, { "group", key.group } });
        closing.push_back(std::move(entry->second));
        entry = stripe.cells.erase(entry);
        continue;
      }
      entry->second->Update(role, servers ? *servers : std::vector<model::ServerRecord>());
      ++entry;
    }
  }
}

std::vector<std::shared_ptr<Cell>>
CellTable::All() const
{
  std::vector<std::shared_ptr<Cell>> all;
  for (const Stripe& stripe : this->stripes) {
    std::lock_guard<std::mutex> lock(stripe.mutex);
    for (const auto& [key, cell] : stripe.cells) {
      all.push_back(cell);
    }
  }
  return all;
}

void
CellTable::PollHealth()
{
  for (const std::shared_ptr<Cell>& cell : this->All()) {
    cell->PollHealth();
  }
}

std::vector<CellStatus>
CellTable::Status() const
{
  std::vector<CellStatus> statuses;
  for (const std::shared_ptr<Cell>& cell : this->All()) {
    statuses.push_back(cell->Status());
  }
  return statuses;
}

} // namespace sapphirewind::tier
