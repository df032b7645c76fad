#include <tier/Instance.h>

#include <algorithm>
#include <atomic>
#include <document/Document.h>
#include <net/Server.h>
#include <rpc/JsonRpc.h>
#include <telemetry/Events.h>
#include <telemetry/Exposition.h>
#include <thread>
#include <tier/BookingService.h>
#include <tier/CallerApi.h>
#include <tier/Gossip.h>
#include <tier/InFlightGuard.h>
#include <tier/PeerApi.h>
#include <tier/PlatformFollower.h>
#include <tier/SearchService.h>
#include <tier/ServingStateBuilder.h>
#include <tier/StatusPage.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kStoreTimeout = std::chrono::milliseconds(800);
constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kHealthInterval = std::chrono::milliseconds(500);
constexpr base::Duration kSnapshotCheckInterval = std::chrono::milliseconds(300);
constexpr base::Duration kAlertInterval = std::chrono::milliseconds(500);
constexpr base::Duration kWakePollInterval = std::chrono::milliseconds(10);
constexpr base::Duration kDrainPollInterval = std::chrono::milliseconds(10);
/// Time for the leaving state to reach the peers, so that they stop sending work to this instance.
constexpr base::Duration kHandoverTime = std::chrono::milliseconds(600);
constexpr size_t kExecutorThreads = 192;
constexpr size_t kMaxConnections = 1024;

net::Endpoint
EndpointOf(const std::string& aText)
{
  net::Endpoint endpoint;
  net::ParseEndpoint(aText, endpoint);
  return endpoint;
}

net::Response
OkResponse(const Json::Value& aValue)
{
  return net::Response{ .status = 200, .body = document::Serialize(aValue) };
}

} // namespace

struct Instance::Impl
{
  explicit Impl(config::Settings aSettings);

  void RouteCallers();
  void RouteOperators();
  void RoutePeers();

  void RebuildServingState();
  void FollowPlatformLoop();
  void GossipLoop();
  void MaintenanceLoop();
  void HealthLoop();
  void EvaluateAlerts(base::Instant aNow);
  StatusInput GatherStatus();
  bool SleepUnlessEnding(base::Duration aDuration);

  const config::Settings settings;
  PauseGuard pauseGuard;
  Counters counters;
  SharedQuarantine quarantine;
  LeavingServers leavingServers;
  ObjectCache objects;
  ServingStateHolder servingState;
  platform::HttpStore store;
  PeerClient peers;
  telemetry::ClassMetrics metrics;
  AdmissionControllers admissionControllers;
  SnapshotTracker snapshots;
  CellContext cellContext;
  CellTable cells;
  ClaimWriter claims;
  Executor executor;
  ScatterContext scatterContext;
  Gossip gossip;
  PlatformFollower follower;
  SearchService search;
  BookingService booking;
  std::atomic<bool> closed{ false };
  std::atomic<int> inFlight{ 0 };
  PeerApi peerApi;
  rpc::Dispatcher dispatcher;
  net::Server server;

  std::mutex rebuildMutex;
  std::mutex alertMutex;
  config::AlertEvaluationState alertState;
  std::vector<config::AlertStatus> alerts;
  std::atomic<int64_t> configurationAt{ 0 };
  std::atomic<bool> updatePending{ false };
  std::atomic<bool> everReady{ false };
  std::atomic<bool> stopping{ false };
  std::atomic<bool> ending{ false };
  std::vector<std::thread> threads;
};

namespace {

membership::Member
SelfOf(const config::Settings& aSettings)
{
  return membership::Member{ .name = aSettings.name,
                             .address = aSettings.listen,
                             .region = aSettings.region,
                             .zone = aSettings.zone,
                             .incarnation = base::WallClockMillis(),
                             .state = membership::MemberState::Alive };
}

} // namespace

Instance::Impl::Impl(config::Settings aSettings)
  : settings(std::move(aSettings))
  , pauseGuard(base::Now())
  , store(EndpointOf(this->settings.platform), kStoreTimeout)
  , cellContext{ .quarantine = this->quarantine,
                 .leaving = this->leavingServers,
                 .pauseGuard = this->pauseGuard,
                 .counters = this->counters,
                 .experiment = this->settings.experiment,
                 .region = this->settings.region }
  , cells(this->cellContext, this->servingState, this->settings.name)
  , claims(this->store, this->counters)
  , executor(kExecutorThreads)
  , scatterContext{ .self = this->settings.name,
                    .cells = this->cells,
                    .peers = this->peers,
                    .executor = this->executor,
                    .experiment = this->settings.experiment }
  , gossip(GossipContext{ .objects = this->objects,
                          .peers = this->peers,
                          .leaving = this->leavingServers,
                          .quarantine = this->quarantine,
                          .pauseGuard = this->pauseGuard,
                          .onChange = [this] { this->RebuildServingState(); } },
           SelfOf(this->settings),
           this->settings.seeds)
  , follower(FollowerContext{ .store = this->store,
                              .objects = this->objects,
                              .pauseGuard = this->pauseGuard,
                              .counters = this->counters,
                              .onChange = [this] { this->RebuildServingState(); } })
  , search(SearchContext{ .servingState = this->servingState,
                          .admissionControllers = this->admissionControllers,
                          .snapshots = this->snapshots,
                          .quarantine = this->quarantine,
                          .scatter = this->scatterContext,
                          .metrics = this->metrics })
  , booking(BookingContext{ .self = this->settings.name,
                            .servingState = this->servingState,
                            .admissionControllers = this->admissionControllers,
                            .claims = this->claims,
                            .cells = this->cells,
                            .peers = this->peers,
                            .executor = this->executor,
                            .pauseGuard = this->pauseGuard,
                            .metrics = this->metrics })
  , peerApi(PeerApiContext{ .cells = this->cells,
                            .claims = this->claims,
                            .gossip = this->gossip,
                            .objects = this->objects,
                            .peers = this->peers,
                            .closed = this->closed,
                            .inFlight = this->inFlight })
  , server(
      net::ServerOptions{ .listen = EndpointOf(this->settings.listen),
                          .maxBodyBytes = std::max<size_t>(this->settings.maxBodyBytes, 4 << 20),
                          .maxConnections = kMaxConnections })
{
}

void
Instance::Impl::RebuildServingState()
{
  std::lock_guard<std::mutex> lock(this->rebuildMutex);
  ServingStatePointer before = this->servingState.Get();
  this->gossip.ApplyPlatformList(ListedInstances(this->objects));
  ServingStatePointer next = BuildServingState(
    this->objects, this->gossip.View(), *before, this->settings.experiment.sharers);
  if (next->generation != before->generation) {
    this->configurationAt = base::Now().time_since_epoch().count();
  }
  this->servingState.Set(next);
  this->cells.Apply(*next, base::Now());
  this->updatePending = true;
  if (next->IsReady() && !this->everReady.exchange(true)) {
    telemetry::Log(telemetry::Event::Ready, { { "generation", next->generation } });
  }
}

bool
Instance::Impl::SleepUnlessEnding(base::Duration aDuration)
{
  base::Instant end = base::Now() + aDuration;
  while (!this->ending && base::Now() < end) {
    std::this_thread::sleep_for(std::min<base::Duration>(kTickInterval, end - base::Now()));
  }
  return !this->ending;
}

void
Instance::Impl::FollowPlatformLoop()
{
  base::Random random(base::ThreadRandom()());
  while (!this->ending) {
    size_t instanceCount = this->gossip.InstanceCount();
    base::Duration delay = this->follower.Step(this->gossip.IsWatcher(), instanceCount, random);
    base::Instant end = base::Now() + delay;
    // A process pause ends the delay early, so that the state is refreshed at once.
    while (!this->ending && base::Now() < end && !this->pauseGuard.IsStale()) {
      std::this_thread::sleep_for(std::min<base::Duration>(kTickInterval / 2, end - base::Now()));
    }
    if (this->pauseGuard.IsStale()) {
      std::this_thread::sleep_for(kWakePollInterval);
    }
  }
}

void
Instance::Impl::GossipLoop()
{
  while (!this->ending) {
    bool urgent = this->updatePending.exchange(false);
    this->gossip.RunRound(urgent);
    size_t instanceCount = this->gossip.InstanceCount();
    base::Instant end = base::Now() + ProbeInterval(instanceCount);
    while (!this->ending && base::Now() < end && !this->updatePending &&
           !this->pauseGuard.IsStale()) {
      std::this_thread::sleep_for(kWakePollInterval);
    }
  }
}

void
Instance::Impl::MaintenanceLoop()
{
  base::Instant checkSnapshotsAt{};
  base::Instant evaluateAlertsAt{};
  base::Instant applyAt{};
  while (this->SleepUnlessEnding(kTickInterval)) {
    base::Instant now = base::Now();
    if (this->pauseGuard.Tick(now)) {
      telemetry::Log(telemetry::Event::ClockJumped, {});
    }
    if (now >= checkSnapshotsAt) {
      this->search.ConfirmSnapshots();
      checkSnapshotsAt = now + kSnapshotCheckInterval;
    }
    if (now >= evaluateAlertsAt) {
      this->EvaluateAlerts(now);
      evaluateAlertsAt = now + kAlertInterval;
    }
    if (now >= applyAt) {
      this->cells.Apply(*this->servingState.Get(), now);
      this->quarantine.RemoveExpired(now);
      applyAt = now + std::chrono::seconds(2);
    }
  }
}

void
Instance::Impl::HealthLoop()
{
  while (!this->ending) {
    base::Instant requestedAt = base::Now();
    this->cells.PollHealth();
    this->pauseGuard.OnRefreshed(RefreshSource::Servers, requestedAt);
    base::Instant end = requestedAt + kHealthInterval;
    while (!this->ending && base::Now() < end && !this->pauseGuard.IsStale()) {
      std::this_thread::sleep_for(kWakePollInterval);
    }
  }
}

StatusInput
Instance::Impl::GatherStatus()
{
  base::Instant now = base::Now();
  StatusInput input;
  input.name = this->settings.name;
  input.servingState = this->servingState.Get();
  input.ready = input.servingState->IsReady() && !this->stopping;
  input.stopping = this->stopping;
  input.view = this->gossip.View();
  input.watcher = this->gossip.IsWatcher();
  std::optional<base::Instant> unreachableSince = this->follower.UnreachableSince();
  input.storeUnreachable = unreachableSince ? now - *unreachableSince : base::Duration(0);
  int64_t since = this->configurationAt;
  input.configurationAge =
    since == 0 ? base::Duration(0) : now.time_since_epoch() - base::Duration(since);
  input.cells = this->cells.Status();
  input.classes = this->metrics.Collect(now);
  input.quarantined = this->quarantine.ListQuarantined(now);
  input.leaving = this->leavingServers.List(now);
  std::lock_guard<std::mutex> lock(this->alertMutex);
  input.alerts = this->alerts;
  return input;
}

void
Instance::Impl::EvaluateAlerts(base::Instant aNow)
{
  StatusInput input = this->GatherStatus();
  std::vector<config::MetricValue> figures = CollectFigures(input, this->counters, aNow);
  std::lock_guard<std::mutex> lock(this->alertMutex);
  std::vector<config::AlertStatus> next = config::EvaluateAlerts(
    input.servingState->configuration.alerts, figures, this->alertState, aNow);
  for (const config::AlertStatus& alert : next) {
    auto before =
      std::find_if(this->alerts.begin(),
                   this->alerts.end(),
                   [&](const config::AlertStatus& aEntry) { return aEntry.name == alert.name; });
    bool wasFiring = before != this->alerts.end() && before->firing;
    if (alert.firing != wasFiring) {
      telemetry::Log(alert.firing ? telemetry::Event::AlertFiring : telemetry::Event::AlertResolved,
                     { { "alert", alert.name }, { "value", alert.value } });
    }
  }
  this->alerts = std::move(next);
}

void
Instance::Impl::RouteCallers()
{
  this->server.Route("POST", "/v1/search", [this](const net::Request& aRequest) {
    InFlightGuard guard(this->inFlight);
    BadRequest bad;
    if (aRequest.body.size() > this->settings.maxBodyBytes) {
      return ToResponse(
        BadRequest{ .error = model::Errc::TooLarge, .detail = "the body is too large" });
    }
    std::optional<ParsedSearch> parsed = ParseSearch(aRequest, bad);
    return parsed ? ToResponse(this->search.Search(parsed->request, parsed->timeLeft))
                  : ToResponse(bad);
  });
  this->server.Route("POST", "/v1/book", [this](const net::Request& aRequest) {
    InFlightGuard guard(this->inFlight);
    BadRequest bad;
    if (aRequest.body.size() > this->settings.maxBodyBytes) {
      return ToResponse(
        BadRequest{ .error = model::Errc::TooLarge, .detail = "the body is too large" });
    }
    std::optional<ParsedBooking> parsed = ParseBooking(aRequest, bad);
    return parsed ? ToResponse(this->booking.Book(parsed->request, parsed->timeLeft))
                  : ToResponse(bad);
  });
}

void
Instance::Impl::RouteOperators()
{
  this->server.Route("GET", "/ready", [this](const net::Request&) {
    bool ready = this->servingState.Get()->IsReady() && !this->stopping;
    Json::Value body;
    body["ready"] = ready;
    return net::Response{ .status = ready ? 200 : 503, .body = document::Serialize(body) };
  });
  this->server.Route("GET", "/v1/status", [this](const net::Request&) {
    return OkResponse(WriteStatus(this->GatherStatus(), this->counters, base::Now()));
  });
  this->server.Route("GET", "/metrics", [this](const net::Request&) {
    std::vector<config::MetricValue> figures =
      CollectFigures(this->GatherStatus(), this->counters, base::Now());
    return net::Response{ .status = 200,
                          .body = telemetry::WriteExposition(ToSamples(figures, this->counters)),
                          .contentType = "text/plain; version=0.0.4" };
  });
}

void
Instance::Impl::RoutePeers()
{
  this->peerApi.Register(this->dispatcher);
  this->server.Route("POST", "/rpc", [this](const net::Request& aRequest) {
    return net::Response{ .status = 200, .body = this->dispatcher.Handle(aRequest.body) };
  });
}

Instance::Instance(config::Settings aSettings)
  : impl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Instance::~Instance()
{
  this->impl->ending = true;
  this->impl->server.Stop();
  for (std::thread& thread : this->impl->threads) {
    thread.join();
  }
}

std::error_code
Instance::Start()
{
  Impl* self = this->impl.get();
  self->RouteCallers();
  self->RouteOperators();
  self->RoutePeers();
  if (std::error_code error = self->server.Start()) {
    return error;
  }
  telemetry::Log(telemetry::Event::Started,
                 { { "listen", self->settings.listen },
                   { "region", self->settings.region },
                   { "zone", self->settings.zone } });
  self->threads.emplace_back([self] { self->FollowPlatformLoop(); });
  self->threads.emplace_back([self] { self->GossipLoop(); });
  self->threads.emplace_back([self] { self->MaintenanceLoop(); });
  self->threads.emplace_back([self] { self->HealthLoop(); });
  return {};
}

bool
Instance::Stop()
{
  Impl& self = *this->impl;
  telemetry::Log(telemetry::Event::Stopping, {});
  self.stopping = true;
  // The readiness check fails now, but the balancer sends requests until it notices: keep serving.
  std::this_thread::sleep_for(self.settings.balancerLag);
  self.gossip.Leave();
  self.updatePending = true;
  std::this_thread::sleep_for(kHandoverTime);
  base::Instant end = base::Now() + self.settings.stopWithin;
  while (self.inFlight > 0 && base::Now() < end) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  // From here on peers' calls are refused, which proves that nothing ran; peers retry at the next
  // instance.
  self.closed = true;
  while (self.inFlight > 0 && base::Now() < end) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  bool drained = self.inFlight == 0;
  telemetry::Log(drained ? telemetry::Event::Drained : telemetry::Event::StopForced, {});
  return drained;
}

} // namespace sapphirewind::tier
