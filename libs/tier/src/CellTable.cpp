#include <tier/CellTable.h>

#include <base/Random.h>
#include <telemetry/Events.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kSurvivalCheck = std::chrono::milliseconds(1);
constexpr base::Duration kSurvivalPatience = std::chrono::milliseconds(20);
constexpr base::Duration kCloseAfterIdle = std::chrono::seconds(10);

/// Gathers the ends of one query's groups.
struct Gathering
{
  std::mutex mutex;
  model::ScatterResponse answer;
  size_t pending = 0;
  size_t top = 0;
  std::function<void(model::ScatterResponse)> done;
};

void
Gather(Gathering& aGathering, model::GroupResult aAnswer, std::vector<model::Hit> aHits)
{
  std::vector<model::Hit> ordered = model::SortTop(std::move(aHits), aGathering.top);
  std::unique_lock<std::mutex> lock(aGathering.mutex);
  model::ScatterResponse& answer = aGathering.answer;
  answer.groups.push_back(std::move(aAnswer));
  answer.hits = model::MergeTop(std::move(answer.hits), std::move(ordered), aGathering.top);
  if (--aGathering.pending == 0) {
    lock.unlock();
    aGathering.done(std::move(answer));
  }
}

model::GroupResult
NoSuchGroup(const std::string& aGroup)
{
  return model::GroupResult{ .group = aGroup,
                             .outcome = model::Outcome::NotRun,
                             .shards = {},
                             .error = model::Errc::NoReplica,
                             .queueWait = base::Duration(0) };
}

const std::vector<model::ServerRecord>*
ServersOf(const World& aWorld, const std::string& aService, const std::string& aGroup)
{
  const ServiceWorld* service = aWorld.FindService(aService);
  if (!service) {
    return nullptr;
  }
  auto servers = service->serversByGroup.find(aGroup);
  return servers == service->serversByGroup.end() ? nullptr : &servers->second;
}

} // namespace

CellRole
RoleFor(const ServiceWorld& aService,
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

CellTable::CellTable(CellContext& aContext, WorldHolder& aWorld, std::string aSelf)
  : context(aContext)
  , world(aWorld)
  , self(std::move(aSelf))
{
}

CellTable::Shard&
CellTable::ShardOf(const Key& aKey)
{
  return this->shards[base::CombineHash(base::Hash64(aKey.service), aKey.group) % kShards];
}

std::shared_ptr<Cell>
CellTable::Open(const World& aWorld, const Key& aKey)
{
  const std::vector<model::ServerRecord>* servers = ServersOf(aWorld, aKey.service, aKey.group);
  if (!servers) {
    return nullptr;
  }
  Shard& shard = this->ShardOf(aKey);
  std::lock_guard<std::mutex> lock(shard.mutex);
  std::shared_ptr<Cell>& cell = shard.cells[aKey];
  if (!cell) {
    CellRole role = RoleFor(*aWorld.FindService(aKey.service),
                            aKey.group,
                            this->self,
                            this->context.experiment,
                            aWorld.serving.size());
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
  WorldPointer current = this->world.Get();
  auto gathering = std::make_shared<Gathering>();
  gathering->pending = aRequest.groups.size();
  gathering->top = aRequest.top;
  gathering->done = std::move(aDone);
  if (aRequest.groups.empty()) {
    gathering->done({});
    return;
  }
  for (const model::GroupTask& task : aRequest.groups) {
    std::shared_ptr<Cell> cell =
      this->Open(*current, Key{ .service = aRequest.service, .group = task.group });
    if (!cell) {
      Gather(*gathering, NoSuchGroup(task.group), {});
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
                       .done = [gathering](model::GroupResult aAnswer,
                                           std::vector<model::Hit> aHits) {
                         Gather(*gathering, std::move(aAnswer), std::move(aHits));
                       } };
    cell->Submit(std::move(search));
  }
}

void
CellTable::Book(const model::BookingTask& aTask,
                base::Instant aDeadline,
                std::function<void(model::BookingResult)> aDone)
{
  std::shared_ptr<Cell> cell =
    this->Open(*this->world.Get(), Key{ .service = aTask.service, .group = aTask.group });
  if (!cell) {
    aDone(model::BookingResult{
      .outcome = model::Outcome::NotRun, .receipt = {}, .error = model::Errc::NoReplica });
    return;
  }
  cell->Submit(BookingWork{ .task = aTask, .deadline = aDeadline, .done = std::move(aDone) });
}

std::vector<std::string>
CellTable::LackingGroups(const std::string& aService,
                         const std::string& aSnapshot,
                         const std::vector<std::string>& aGroups)
{
  WorldPointer current = this->world.Get();
  std::vector<std::string> lacking;
  for (const std::string& group : aGroups) {
    std::shared_ptr<Cell> cell = this->Open(*current, Key{ .service = aService, .group = group });
    if (!cell || !cell->HasSnapshot(aSnapshot)) {
      lacking.push_back(group);
    }
  }
  return lacking;
}

bool
CellTable::WaitSurvival(const std::string& aService,
                        const std::string& aGroup,
                        const std::string& aRequestId,
                        base::Instant aDeadline)
{
  std::shared_ptr<Cell> cell =
    this->Open(*this->world.Get(), Key{ .service = aService, .group = aGroup });
  // The question may overtake the request by a little; one that has been answered is gone for good.
  base::Instant givingUp = base::Now() + kSurvivalPatience;
  bool seen = false;
  while (cell && base::Now() < aDeadline) {
    Cell::Survival survival = cell->SurvivalOf(aRequestId, base::Now());
    bool absent = survival == Cell::Survival::Absent;
    if (survival == Cell::Survival::Survived || survival == Cell::Survival::Lost) {
      return survival == Cell::Survival::Survived;
    }
    if (absent && (seen || base::Now() >= givingUp)) {
      return false;
    }
    seen = seen || !absent;
    std::this_thread::sleep_for(kSurvivalCheck);
  }
  return false;
}

void
CellTable::Apply(const World& aWorld, base::Instant aNow)
{
  bool direct = this->context.experiment.dispatch == config::DispatchMode::Direct;
  for (const auto& [name, service] : aWorld.services) {
    for (const auto& [group, servers] : service.serversByGroup) {
      if (direct || service.assignment.Owns(this->self, group)) {
        this->Open(aWorld, Key{ .service = name, .group = group });
      }
    }
  }
  std::vector<std::shared_ptr<Cell>> closing;
  for (Shard& shard : this->shards) {
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (auto entry = shard.cells.begin(); entry != shard.cells.end();) {
      const Key& key = entry->first;
      const std::vector<model::ServerRecord>* servers = ServersOf(aWorld, key.service, key.group);
      CellRole role{ .owner = false, .sharers = 1 };
      if (servers) {
        role = RoleFor(*aWorld.FindService(key.service),
                       key.group,
                       this->self,
                       this->context.experiment,
                       aWorld.serving.size());
      }
      std::optional<base::Instant> idleSince = entry->second->IdleSince();
      bool idle = idleSince && aNow - *idleSince >= kCloseAfterIdle;
      if (!role.owner && idle && entry->second.use_count() == 1) {
        telemetry::Log(telemetry::Event::CellClosed,
                       { { "service", key.service }, { "group", key.group } });
        closing.push_back(std::move(entry->second));
        entry = shard.cells.erase(entry);
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
  for (const Shard& shard : this->shards) {
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (const auto& [key, cell] : shard.cells) {
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
