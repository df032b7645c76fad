#include "ClusterState.h"

#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// How much longer than its wait a mirror's own watch may take before its cache counts as stale.
constexpr base::Duration kMirrorSlack = std::chrono::milliseconds(800);

/// How long an instance that could serve otherwise waits for what others hold in quarantine:
/// several rounds of asking, and less than a caller waits for a connection.
constexpr base::Duration kMaxQuarantineWait = std::chrono::milliseconds(800);

} // namespace

void
LogMalformed(const StoredObject& aObject)
{
  telemetry::Log(telemetry::Event::ObjectMalformed,
                 { { "object", aObject.name },
                   { "revision", aObject.position.revision },
                   { "why", aObject.problem } });
}

ClusterState::ClusterState(Options aOptions)
  : options(std::move(aOptions))
  , eras(EraObserver::Options{ .codec = this->options.codec,
                               .onNewEra = [this] { this->OnNewEra(); } })
  , mirror(MirrorServer::Options{
      .loop = this->options.context.loop,
      .codec = this->options.codec,
      .eras = this->eras,
      .endpoint = this->options.peerEndpoint,
      .freshness = this->MirrorWait() + kMirrorSlack,
      .onQuarantineUpdate =
        [this](const std::string& aMessage) { return this->quarantine.OnUpdate(aMessage); },
      .listQuarantine = [this] { return this->quarantine.List(); } })
  , quarantine(QuarantineExchange::Options{ .loop = this->options.context.loop,
                                            .crashGuard = this->options.context.crashGuard,
                                            .metrics = this->options.context.metrics,
                                            .random = this->options.context.random,
                                            .firstStart = this->options.firstStart,
                                            .onLearned = [this] { this->CheckUsable(); } })
{
}

ClusterState::~ClusterState()
{
  // None of them exists if the address could not be bound.
  if (!this->registration) {
    return;
  }
  this->configurationFollower->Stop();
  this->serverFollower->Stop();
  this->registration->Stop();
}

std::error_code
ClusterState::Start()
{
  this->startedAt = base::Now();
  if (std::error_code error = this->mirror.Start()) {
    return error;
  }
  this->configurationFollower = this->MakeFollower(StoreKind::Configuration);
  this->serverFollower = this->MakeFollower(StoreKind::Servers);
  this->registration = std::make_shared<InstanceRegistration>(InstanceRegistration::Options{
    .loop = this->options.context.loop,
    .codec = this->options.codec,
    .connection = this->ConnectionOptions(),
    .entry = { .name = this->options.instance,
               .address = FormatEndpoint(this->mirror.LocalEndpoint()),
               .region = this->options.region },
    .firstStart = this->options.firstStart,
    .random = this->options.context.random,
    .eras = this->eras,
    .onInstancesListed = [this](const directory::InstanceTracker& aTracker) {
      this->OnInstancesListed(aTracker);
    } });
  this->registration->Start();
  this->configurationFollower->Start();
  this->serverFollower->Start();
  return {};
}

std::shared_ptr<StoreFollower>
ClusterState::MakeFollower(StoreKind aKind)
{
  bool followsServers = aKind == StoreKind::Servers;
  using Objects = std::vector<StoredObject>;
  using Body = std::shared_ptr<const RelayedBody>;
  return std::make_shared<StoreFollower>(StoreFollower::Options{
    .loop = this->options.context.loop,
    .codec = this->options.codec,
    .kind = aKind,
    .random = this->options.context.random,
    .metrics = this->options.context.metrics,
    .eras = this->eras,
    .chooseSource = [this, aKind](SourceUse aUse) { return this->ChooseSource(aKind, aUse); },
    .onSourceFailed =
      [this, aKind](const StoreSource& aSource, directory::MirrorFailure aFailure) {
        this->OnSourceFailed(aKind, aSource, aFailure);
      },
    .onSourceAnswered =
      [this, aKind](const StoreSource& aSource) { this->OnSourceAnswered(aKind, aSource); },
    .onPageBody =
      [this, aKind](const std::string& aAfter, Body aBody, base::Instant aAnsweredAt) {
        AddListPage(this->mirror.CacheOf(aKind), aAfter, std::move(aBody), aAnsweredAt);
      },
    .onChangesBody =
      [this, aKind](const directory::StorePosition& aTo,
                    MirroredUpdate aUpdate,
                    Body aBody,
                    base::Instant aAnsweredAt) {
        this->OnChangesBody(aKind, aTo, aUpdate, std::move(aBody), aAnsweredAt);
      },
    .onList =
      [this, aKind, followsServers](Objects&& aObjects, const directory::StorePosition& aPosition) {
        CommitList(this->mirror.CacheOf(aKind), aPosition);
        this->mirror.AnswerWaiting(aKind, MirroredUpdate::Changes);
        if (followsServers) {
          this->OnServerList(aObjects, aPosition);
        } else {
          this->OnConfigurations(std::move(aObjects));
        }
      },
    .onChanges =
      [this, followsServers](Objects&& aObjects) {
        if (followsServers) {
          this->OnServerChanges(aObjects);
        } else {
          this->OnConfigurations(std::move(aObjects));
        }
      },
    .onLost = [this, aKind](const char* aCause) { this->OnLost(aKind, aCause); },
    .onRecovered = [this, aKind] { this->OnRecovered(aKind); } });
}

void
ClusterState::OnLost(StoreKind aKind, const char* aCause)
{
  this->mirror.RejectWaiting(aKind);
  telemetry::Log(telemetry::Event::StoreLost, { { "follows", NameOf(aKind) }, { "why", aCause } });
  if (aKind == StoreKind::Servers) {
    directory::OnStoreUnavailable(this->servers, base::Now());
  }
}

void
ClusterState::OnRecovered(StoreKind aKind)
{
  telemetry::Log(telemetry::Event::StoreBack, { { "follows", NameOf(aKind) } });
  if (aKind == StoreKind::Servers) {
    directory::OnStoreRecovered(this->servers, base::Now());
  }
}

void
ClusterState::OnChangesBody(StoreKind aKind,
                            const directory::StorePosition& aTo,
                            MirroredUpdate aUpdate,
                            std::shared_ptr<const RelayedBody> aBody,
                            base::Instant aAnsweredAt)
{
  if (aKind == StoreKind::Servers) {
    this->options.context.upstreams.RecordSourceAnswer(aAnsweredAt);
  }
  MirrorCache& cache = this->mirror.CacheOf(aKind);
  AddChanges(cache, aTo, aUpdate, std::move(aBody), aAnsweredAt);
  this->mirror.AnswerWaiting(aKind, aUpdate);
  if (IsOverSizeLimit(cache)) {
    this->Follower(aKind).Relist();
  }
}

StoreFollower&
ClusterState::Follower(StoreKind aKind) const
{
  return aKind == StoreKind::Servers ? *this->serverFollower : *this->configurationFollower;
}

void
ClusterState::OnConfigurations(std::vector<StoredObject>&& aObjects)
{
  std::optional<uint64_t> version;
  if (this->routes) {
    version = this->routes->Current().version;
  }
  StoredObject* newest = nullptr;
  for (StoredObject& object : aObjects) {
    if (!object.problem.empty()) {
      LogMalformed(object);
    }
    if (object.configuration && (!version || object.configuration->version > *version)) {
      version = object.configuration->version;
      newest = &object;
    }
  }
  if (newest != nullptr) {
    this->PutInForce(std::move(*newest));
  }
  this->UpdateUpstreams();
}

void
ClusterState::PutInForce(StoredObject&& aObject)
{
  this->routes = std::make_shared<const directory::RouteTable>(std::move(*aObject.configuration));
  this->routesSince = base::Now();
  const ReadCost& cost = this->configurationFollower->LastRead();
  telemetry::Log(telemetry::Event::ConfigurationInForce,
                 { { "version", this->routes->Current().version },
                   { "revision", aObject.position.revision },
                   { "routes", this->routes->Current().routes.size() },
                   { "from_mirror", this->configurationFollower->Source().isMirror },
                   { "bytes", cost.bytes },
                   { "took_ms", base::ToMillis(cost.took) },
                   { "decoding_ms", base::ToMillis(cost.decoding) } });
}

void
ClusterState::OnNewEra()
{
  directory::OnStoreReturned(this->servers, base::Now());
  for (StoreKind kind : { StoreKind::Configuration, StoreKind::Servers }) {
    BeginEra(this->mirror.CacheOf(kind));
    this->Follower(kind).OnNewEra();
  }
  this->registration->OnNewEra();
}

void
ClusterState::SetWaits(base::Duration aWatchWait, base::Duration aDrain)
{
  this->options.watchWait = aWatchWait;
  this->options.drain = aDrain;
  this->mirror.SetFreshness(this->MirrorWait() + kMirrorSlack);
}

bool
ClusterState::IsUsable() const
{
  return this->HasRoutesAndServers() && this->quarantine.HasLearned();
}

bool
ClusterState::HasRoutesAndServers() const
{
  return this->routes != nullptr && !this->servers.entries.empty();
}

StoreConnection::Options
ClusterState::ConnectionOptions() const
{
  return StoreConnection::Options{ .loop = this->options.context.loop,
                                   .endpoint = *ParseEndpoint(this->options.storeAddress),
                                   .host = this->options.storeAddress,
                                   .metrics = this->options.context.metrics };
}

void
ClusterState::Describe(InstanceStatus& aStatus, base::Instant aNow) const
{
  if (this->routes) {
    aStatus.version = this->routes->Current().version;
    aStatus.versionAge = aNow - this->routesSince;
  }
  const StoreSource& source = this->serverFollower->Source();
  aStatus.follows = source.isMirror ? FormatEndpoint(source.endpoint) : "store";
  aStatus.storeEra = this->eras.Current();
  aStatus.storeLost = this->servers.unavailableSince.has_value();
  aStatus.instances = this->instances;
}

void
ClusterState::OnInstancesListed(const directory::InstanceTracker& aTracker)
{
  base::Instant now = base::Now();
  this->UpdatePlan(aTracker, now);
  std::vector<directory::InstanceEntry> live = directory::ListLive(aTracker, now);
  bool changed = this->options.context.upstreams.SetInstances(live);
  size_t count = directory::CountLive(aTracker, now);
  std::erase_if(live, [this](const directory::InstanceEntry& aEntry) {
    return aEntry.name == this->options.instance;
  });
  this->quarantine.SetPeers(std::move(live));
  if (changed) {
    this->UpdateUpstreams();
  }
  if (count == this->instances) {
    return;
  }
  this->instances = count;
  telemetry::Log(
    telemetry::Event::InstancesCounted,
    { { "instances", count }, { "mirrors", this->serverSources.plan.candidates.size() } });
}

void
ClusterState::UpdateUpstreams()
{
  this->options.context.upstreams.Update(this->servers, this->routes.get(), base::Now());
  this->CheckUsable();
}

void
ClusterState::CheckUsable()
{
  if (this->wasUsable || !this->HasRoutesAndServers()) {
    return;
  }
  if (this->quarantine.HasLearned()) {
    this->wasUsable = true;
    this->options.onUsable();
    return;
  }
  base::Instant now = base::Now();
  if (!this->awaitsQuarantineSince) {
    this->awaitsQuarantineSince = now;
  }
  if (now - *this->awaitsQuarantineSince >= kMaxQuarantineWait) {
    this->quarantine.StopLearning("no answer in time");
  }
}

} // namespace sapphirewind::engine
