#include <engine/Instance.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <engine/HttpServer.h>
#include <set>
#include <telemetry/Events.h>

#include "ClusterState.h"
#include "Ingress.h"

namespace sapphirewind::engine {

namespace {

/// How often expired entries and idle connections are checked.
constexpr base::Duration kMaintenanceInterval = std::chrono::milliseconds(100);
/// Callers are still accepted for this long after a stop is requested: the load balancer checks
/// readiness once a second and opens no new connections after two failed checks.
constexpr base::Duration kDrainNotice = std::chrono::milliseconds(2500);
/// The process exits this long before the platform would kill it.
constexpr base::Duration kStopMargin = std::chrono::milliseconds(700);
/// How long a forced stop takes to report the servers that were lost under the requests that it
/// ends: two probes of the server and one message to each instance, within kStopMargin.
constexpr base::Duration kLossReportTime = std::chrono::milliseconds(450);
/// How often the settings file is checked for changes without a signal.
constexpr base::Duration kSettingsPollInterval = std::chrono::seconds(5);
/// How often a stopping instance checks whether the last caller's connection is closed.
constexpr base::Duration kStopPollInterval = std::chrono::milliseconds(50);

/// A delay of handlers that is logged; on an unloaded machine they run within a millisecond.
constexpr base::Duration kStallThreshold = std::chrono::milliseconds(250);

std::string
RegionOf(const Settings& aSettings)
{
  auto region = aSettings.regions.find(aSettings.zone);
  return region == aSettings.regions.end() ? aSettings.zone : region->second;
}

} // namespace

class Instance::Impl
{
public:
  explicit Impl(Options aOptions)
    : settings(std::move(aOptions.settings))
    , readChangedSettings(std::move(aOptions.readChangedSettings))
    , wire(aOptions.wire)
    , upstreams(UpstreamPool::Options{ .loop = this->loop,
                                       .codec = this->wire,
                                       .instance = this->settings.instance,
                                       .zone = this->settings.zone,
                                       .regions = this->settings.regions,
                                       .extraShare = this->settings.extraShare,
                                       .extraMinimum = this->settings.extraMinimum,
                                       .extraWindow = this->settings.extraWindow,
                                       .drain = this->settings.drain })
    , crashGuard(CrashGuard::Options{
        .notifyPeers =
          [this](const std::string& aMessage) { this->clusterState.NotifyPeers(aMessage); } })
    , context{ .loop = this->loop,
               .codec = this->wire,
               .upstreams = this->upstreams,
               .random = base::ThreadRandom(),
               .metrics = this->metrics,
               .crashGuard = this->crashGuard }
    , clusterState(
        ClusterState::Options{ .context = this->context,
                               .codec = aOptions.store,
                               .storeAddress = this->settings.storeAddress,
                               .instance = this->settings.instance,
                               .region = RegionOf(this->settings),
                               .peerEndpoint = *ParseEndpoint(this->settings.peerAddress),
                               .firstStart = this->settings.firstStart,
                               .watchWait = this->settings.watchWait,
                               .drain = this->settings.drain,
                               .onUsable = [this] { this->OnUsable(); } })
    , loopMonitor(LoopMonitor::Options{
        .loop = this->loop,
        .interval = kMaintenanceInterval,
        .onTick = [this](base::Instant aNow,
                         base::Duration aLag) { this->RunMaintenance(aNow, aLag); } })
    , ingress(Ingress::Options{ .context = this->context,
                                .clusterState = this->clusterState,
                                .loopMonitor = this->loopMonitor,
                                .endpoint = *ParseEndpoint(this->settings.callerAddress),
                                .maxSessions = this->settings.maxDescriptors / 2 })
    , statusServer(HttpServer::Options{
        .loop = this->loop,
        .endpoint = *ParseEndpoint(this->settings.statusAddress),
        .handler =
          [this](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
            aRespond(this->ReadyPage(aRequest));
          } })
    , metricsServer(HttpServer::Options{
        .loop = this->loop,
        .endpoint = *ParseEndpoint(this->settings.metricsAddress),
        .handler =
          [this](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
            aRespond(this->MetricsPage(aRequest));
          } })
    , signals(this->loop, SIGTERM, SIGINT, SIGHUP)
    , stopTimer(this->loop)
  {
  }

  std::error_code Start()
  {
    if (std::error_code error = this->statusServer.Start()) {
      return error;
    }
    if (std::error_code error = this->metricsServer.Start()) {
      return error;
    }
    if (std::error_code error = this->ingress.Start()) {
      return error;
    }
    if (std::error_code error = this->clusterState.Start()) {
      return error;
    }
    this->AwaitSignal();
    this->loopMonitor.Start();
    telemetry::Log(telemetry::Event::Started,
                   { { "zone", this->settings.zone }, { "listen", this->settings.callerAddress } });
    return {};
  }

  std::string CallerAddress() const { return FormatEndpoint(this->ingress.LocalEndpoint()); }
  std::string MetricsAddress() const { return FormatEndpoint(this->metricsServer.LocalEndpoint()); }
  std::string StatusAddress() const { return FormatEndpoint(this->statusServer.LocalEndpoint()); }

  void Run() { this->loop.run(); }

  void Abort() { this->loop.stop(); }

  void PostStop()
  {
    asio::post(this->loop, [this] { this->Stop(); });
  }

  void Stop()
  {
    if (this->ingress.IsDraining()) {
      return;
    }
    telemetry::Log(telemetry::Event::Stopping, { { "sessions", this->ingress.Sessions() } });
    this->ingress.BeginDraining();
    this->stopStartedAt = base::Now();
    this->stopTimer.expires_after(kDrainNotice);
    this->stopTimer.async_wait([this](ErrorCode aError) {
      if (!aError) {
        this->ingress.StopAccepting();
        this->AwaitLastSession();
      }
    });
  }

private:
  bool IsReady() const { return !this->ingress.IsDraining() && this->clusterState.IsUsable(); }

  HttpResponse ReadyPage(const HttpRequest& aRequest) const
  {
    if (aRequest.target() != "/ready") {
      return MakeLocalResponse(http::status::not_found, "not found");
    }
    return this->IsReady() ? MakeLocalResponse(http::status::ok, "ready")
                           : MakeLocalResponse(http::status::service_unavailable, "not ready");
  }

  InstanceStatus Describe() const
  {
    base::Instant now = base::Now();
    UpstreamPool::Summary servers = this->upstreams.Summarise(now);
    InstanceStatus status{ .instance = this->settings.instance,
                           .ready = this->IsReady(),
                           .stopping = this->ingress.IsDraining(),
                           .serverTableAge = now - this->upstreams.LastSourceAnswer(),
                           .serversReady = servers.ready,
                           .serversDraining = servers.draining,
                           .serversLeaving = servers.leaving,
                           .serversEjected = servers.ejected,
                           .serversLimited = servers.limited,
                           .lowestBudget = servers.lowestBudget,
                           .lowestBudgetService = servers.lowestBudgetService,
                           .sessions = this->ingress.Sessions(),
                           .suspects = this->crashGuard.Size(),
                           .logLinesDropped = telemetry::DroppedLineCount() };
    this->clusterState.Describe(status, now);
    return status;
  }

  HttpResponse MetricsPage(const HttpRequest& aRequest)
  {
    HttpResponse response(http::status::ok, 11);
    if (aRequest.target() == "/metrics") {
      response.set(http::field::content_type, "text/plain; version=0.0.4");
      response.body() = this->metrics.Write(this->Describe());
      return response;
    }
    if (aRequest.target() == "/beliefs") {
      response.set(http::field::content_type, "application/json");
      response.body() = document::SerializeIndented(ToJson(this->Describe())) + "\n";
      return response;
    }
    return MakeLocalResponse(http::status::not_found, "not found");
  }

  void AwaitSignal()
  {
    this->signals.async_wait([this](ErrorCode aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        this->ReloadSettings();
      } else {
        this->Stop();
      }
      this->AwaitSignal();
    });
  }

  /// Applies the settings that may change at run time. Addresses, names, zone and regions are fixed
  /// for the life of the process; a change of these is logged and requires a restart.
  void ReloadSettings()
  {
    if (!this->readChangedSettings) {
      return;
    }
    std::optional<Settings> changed = this->readChangedSettings();
    if (!changed) {
      return;
    }
    Settings next = this->settings;
    next.extraShare = changed->extraShare;
    next.extraMinimum = changed->extraMinimum;
    next.watchWait = changed->watchWait;
    next.drain = changed->drain;
    next.stopWithin = changed->stopWithin;
    bool needsRestart = next != *changed;
    telemetry::Log(telemetry::Event::SettingsReloaded,
                   { { "applied", next == this->settings ? "nothing" : "limits" },
                     { "needs_restart", needsRestart ? "yes" : "no" } });
    this->settings = next;
    this->upstreams.SetExtraAttemptLimits(next.extraShare, next.extraMinimum);
    this->upstreams.SetDrain(next.drain);
    this->clusterState.SetWaits(next.watchWait, next.drain);
  }

  void OnUsable()
  {
    telemetry::Log(telemetry::Event::Ready, { { "servers", this->upstreams.Size() } });
    this->ingress.OnConfiguration();
  }

  void RunMaintenance(base::Instant aNow, base::Duration aLag)
  {
    this->metrics.ObserveLoopLag(aLag);
    if (aLag >= kStallThreshold) {
      telemetry::Log(
        telemetry::Event::LoopStalled,
        { { "lag_ms", base::ToMillis(aLag) }, { "sessions", this->ingress.Sessions() } });
    }
    this->clusterState.RunMaintenance(aNow);
    this->upstreams.RunMaintenance(aNow);
    this->crashGuard.RunMaintenance(aNow);
    if (aNow - this->settingsReadAt >= kSettingsPollInterval) {
      this->settingsReadAt = aNow;
      this->ReloadSettings();
    }
  }

  void AwaitLastSession()
  {
    bool deadlinePassed =
      base::Now() - this->stopStartedAt >= this->settings.stopWithin - kStopMargin;
    if (this->ingress.Sessions() == 0) {
      telemetry::Log(telemetry::Event::Drained, { { "sessions", 0 } });
      this->loop.stop();
      return;
    }
    if (deadlinePassed) {
      telemetry::Log(telemetry::Event::StopForced, { { "sessions", this->ingress.Sessions() } });
      this->ingress.CloseAll();
      this->StopAfter(kLossReportTime);
      return;
    }
    this->stopTimer.expires_after(kStopPollInterval);
    this->stopTimer.async_wait([this](ErrorCode aError) {
      if (!aError) {
        this->AwaitLastSession();
      }
    });
  }

  void StopAfter(base::Duration aDelay)
  {
    this->stopTimer.expires_after(aDelay);
    this->stopTimer.async_wait([this](ErrorCode aError) {
      if (!aError) {
        this->loop.stop();
      }
    });
  }

  Settings settings;
  std::function<std::optional<Settings>()> readChangedSettings;
  WireCodec wire;
  Loop loop{ 1 };
  Metrics metrics;
  UpstreamPool upstreams;
  CrashGuard crashGuard;
  EngineContext context;
  ClusterState clusterState;
  LoopMonitor loopMonitor;
  Ingress ingress;
  HttpServer statusServer;
  HttpServer metricsServer;
  asio::signal_set signals;
  Timer stopTimer;
  base::Instant stopStartedAt{};
  base::Instant settingsReadAt = base::Now();
};

Instance::Instance(Options aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

Instance::~Instance() = default;

std::error_code
Instance::Start()
{
  return this->impl->Start();
}

std::string
Instance::CallerAddress() const
{
  return this->impl->CallerAddress();
}

std::string
Instance::MetricsAddress() const
{
  return this->impl->MetricsAddress();
}

std::string
Instance::StatusAddress() const
{
  return this->impl->StatusAddress();
}

void
Instance::Run()
{
  this->impl->Run();
}

void
Instance::Stop()
{
  this->impl->PostStop();
}

void
Instance::Abort()
{
  this->impl->Abort();
}

} // namespace sapphirewind::engine
