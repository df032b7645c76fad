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
#include <tier/StatusPage.h>
#include <tier/WorldBuilder.h>

namespace sapphirewind::tier {

namespace {

constexpr base::Duration kStoreTimeout = std::chrono::milliseconds(800);
constexpr base::Duration kTickEvery = std::chrono::milliseconds(100);
constexpr base::Duration kHealthEvery = std::chrono::milliseconds(500);
constexpr base::Duration kProveEvery = std::chrono::milliseconds(300);
constexpr base::Duration kAlertEvery = std::chrono::milliseconds(500);
constexpr base::Duration kNewsCheck = std::chrono::milliseconds(10);
constexpr base::Duration kDrainPoll = std::chrono::milliseconds(10);
/// Time for peers to hear that this instance leaves and to send it no more work.
constexpr base::Duration kHandOver = std::chrono::milliseconds(600);
constexpr size_t kExecutorThreads = 192;
constexpr size_t kMostConnections = 1024;

net::Endpoint
EndpointOf(const std::string& aText)
{
  net::Endpoint endpoint;
  net::ParseEndpoint(aText, endpoint);
  return endpoint;
}

net::Response
Json200(const Json::Value& aValue)
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

  void Rebuild();
  void FollowLoop();
  void GossipLoop();
  void HouseLoop();
  void HealthLoop();
  void EvaluateAlerts(base::Instant aNow);
  StatusInput GatherStatus();
  bool Pause(base::Duration aSpan);

  const config::Settings settings;
  Freshness freshness;
  Counters counters;
  SharedQuarantine quarantine;
  LeavingServers leavingServers;
  ObjectCache objects;
  WorldHolder world;
  platform::HttpStore store;
  PeerClient peers;
  telemetry::ClassMetrics metrics;
  Gates gates;
  SnapshotBook snapshots;
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
  config::AlertEvaluationState alertMemory;
  std::vector<config::AlertStatus> alerts;
  std::atomic<int64_t> configurationAt{ 0 };
  std::atomic<bool> news{ false };
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
  , freshness(base::Now())
  , store(EndpointOf(this->settings.platform), kStoreTimeout)
  , cellContext{ .quarantine = this->quarantine,
                 .leaving = this->leavingServers,
                 .freshness = this->freshness,
                 .counters = this->counters,
                 .experiment = this->settings.experiment,
                 .region = this->settings.region }
  , cells(this->cellContext, this->world, this->settings.name)
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
                          .freshness = this->freshness,
                          .onChange = [this] { this->Rebuild(); } },
           SelfOf(this->settings),
           this->settings.seeds)
  , follower(FollowerContext{ .store = this->store,
                              .objects = this->objects,
                              .freshness = this->freshness,
                              .counters = this->counters,
                              .onChange = [this] { this->Rebuild(); } })
  , search(SearchContext{ .world = this->world,
                          .gates = this->gates,
                          .snapshots = this->snapshots,
                          .quarantine = this->quarantine,
                          .scatter = this->scatterContext,
                          .metrics = this->metrics })
  , booking(BookingContext{ .self = this->settings.name,
                            .world = this->world,
                            .gates = this->gates,
                            .claims = this->claims,
                            .cells = this->cells,
                            .peers = this->peers,
                            .executor = this->executor,
                            .freshness = this->freshness,
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
                          .maxConnections = kMostConnections })
{
}

void
Instance::Impl::Rebuild()
{
  std::lock_guard<std::mutex> lock(this->rebuildMutex);
  WorldPointer before = this->world.Get();
  this->gossip.ApplyPlatformList(ListedInstances(this->objects));
  WorldPointer next =
    BuildWorld(this->objects, this->gossip.View(), *before, this->settings.experiment.sharers);
  if (next->generation != before->generation) {
    this->configurationAt = base::Now().time_since_epoch().count();
  }
  this->world.Set(next);
  this->cells.Apply(*next, base::Now());
  this->news = true;
  if (next->IsReady() && !this->everReady.exchange(true)) {
    telemetry::Log(telemetry::Event::Ready, { { "generation", next->generation } });
  }
}

bool
Instance::Impl::Pause(base::Duration aSpan)
{
  base::Instant end = base::Now() + aSpan;
  while (!this->ending && base::Now() < end) {
    std::this_thread::sleep_for(std::min<base::Duration>(kTickEvery, end - base::Now()));
  }
  return !this->ending;
}

void
Instance::Impl::FollowLoop()
{
  base::Random random(base::ThreadRandom()());
  while (!this->ending) {
    size_t fleet = this->gossip.Fleet();
    base::Duration pause = this->follower.Step(this->gossip.IsWatcher(), fleet, random);
    base::Instant end = base::Now() + pause;
    // A freeze cuts the pause short: knowledge is refreshed at once.
    while (!this->ending && base::Now() < end && !this->freshness.IsStale()) {
      std::this_thread::sleep_for(std::min<base::Duration>(kTickEvery / 2, end - base::Now()));
    }
    if (this->freshness.IsStale()) {
      std::this_thread::sleep_for(kNewsCheck);
    }
  }
}

void
Instance::Impl::GossipLoop()
{
  while (!this->ending) {
    bool hadNews = this->news.exchange(false);
    this->gossip.Round(hadNews);
    size_t fleet = this->gossip.Fleet();
    base::Instant end = base::Now() + ProbeInterval(fleet);
    while (!this->ending && base::Now() < end && !this->news && !this->freshness.IsStale()) {
      std::this_thread::sleep_for(kNewsCheck);
    }
  }
}

void
Instance::Impl::HouseLoop()
{
  base::Instant proveAt{};
  base::Instant alertAt{};
  base::Instant applyAt{};
  while (this->Pause(kTickEvery)) {
    base::Instant now = base::Now();
    if (this->freshness.Tick(now)) {
      telemetry::Log(telemetry::Event::ClockJumped, {});
    }
    if (now >= proveAt) {
      this->search.ProveSnapshots();
      proveAt = now + kProveEvery;
    }
    if (now >= alertAt) {
      this->EvaluateAlerts(now);
      alertAt = now + kAlertEvery;
    }
    if (now >= applyAt) {
      this->cells.Apply(*this->world.Get(), now);
      this->quarantine.Expire(now);
      applyAt = now + std::chrono::seconds(2);
    }
  }
}

void
Instance::Impl::HealthLoop()
{
  while (!this->ending) {
    base::Instant asked = base::Now();
    this->cells.PollHealth();
    this->freshness.OnRefreshed(Source::Servers, asked);
    base::Instant end = asked + kHealthEvery;
    while (!this->ending && base::Now() < end && !this->freshness.IsStale()) {
      std::this_thread::sleep_for(kNewsCheck);
    }
  }
}

StatusInput
Instance::Impl::GatherStatus()
{
  base::Instant now = base::Now();
  StatusInput input;
  input.name = this->settings.name;
  input.world = this->world.Get();
  input.ready = input.world->IsReady() && !this->stopping;
  input.stopping = this->stopping;
  input.view = this->gossip.View();
  input.watcher = this->gossip.IsWatcher();
  std::optional<base::Instant> lost = this->follower.UnreachableSince();
  input.storeUnreachable = lost ? now - *lost : base::Duration(0);
  int64_t since = this->configurationAt;
  input.configurationAge =
    since == 0 ? base::Duration(0) : now.time_since_epoch() - base::Duration(since);
  input.cells = this->cells.Status();
  input.classes = this->metrics.Collect(now);
  input.condemned = this->quarantine.ListCondemned(now);
  input.leaving = this->leavingServers.List(now);
  std::lock_guard<std::mutex> lock(this->alertMutex);
  input.alerts = this->alerts;
  return input;
}

void
Instance::Impl::EvaluateAlerts(base::Instant aNow)
{
  StatusInput input = this->GatherStatus();
  std::vector<config::MetricValue> figures = FiguresOf(input, this->counters, aNow);
  std::lock_guard<std::mutex> lock(this->alertMutex);
  std::vector<config::AlertStatus> next =
    config::EvaluateAlerts(input.world->configuration.alerts, figures, this->alertMemory, aNow);
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
    bool ready = this->world.Get()->IsReady() && !this->stopping;
    Json::Value body;
    body["ready"] = ready;
    return net::Response{ .status = ready ? 200 : 503, .body = document::Serialize(body) };
  });
  this->server.Route("GET", "/v1/status", [this](const net::Request&) {
    return Json200(WriteStatus(this->GatherStatus(), this->counters, base::Now()));
  });
  this->server.Route("GET", "/metrics", [this](const net::Request&) {
    std::vector<config::MetricValue> figures =
      FiguresOf(this->GatherStatus(), this->counters, base::Now());
    return net::Response{ .status = 200,
                          .body = telemetry::WriteExposition(SamplesOf(figures, this->counters)),
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
  self->threads.emplace_back([self] { self->FollowLoop(); });
  self->threads.emplace_back([self] { self->GossipLoop(); });
  self->threads.emplace_back([self] { self->HouseLoop(); });
  self->threads.emplace_back([self] { self->HealthLoop(); });
  return {};
}

bool
Instance::Stop()
{
  Impl& self = *this->impl;
  telemetry::Log(telemetry::Event::Stopping, {});
  self.stopping = true;
  // Not ready for the balancer, still serving: it goes on sending for a while.
  std::this_thread::sleep_for(self.settings.balancerLag);
  self.gossip.Leave();
  self.news = true;
  std::this_thread::sleep_for(kHandOver);
  base::Instant end = base::Now() + self.settings.stopWithin;
  while (self.inFlight > 0 && base::Now() < end) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  // From here peers are refused, which proves to them that nothing ran; they ask the next instance.
  self.closed = true;
  while (self.inFlight > 0 && base::Now() < end) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  bool drained = self.inFlight == 0;
  telemetry::Log(drained ? telemetry::Event::Drained : telemetry::Event::StopForced, {});
  return drained;
}

} // namespace sapphirewind::tier
