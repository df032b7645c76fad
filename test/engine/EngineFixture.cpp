#include "EngineFixture.h"

#include "TestConfiguration.h"

#include <adapter/Adapter.h>

namespace sapphirewind::test {

namespace http = engine::http;

EngineFixture::EngineFixture()
  : store(this->loop)
{
  std::vector<std::string> services = { "p" };
  for (size_t shard = 0; shard < kShards; ++shard) {
    services.push_back("s" + std::to_string(shard));
  }
  uint64_t seed = 1;
  for (const std::string& service : services) {
    for (const char* zone : { "a", "b" }) {
      this->servers.push_back(std::make_unique<fakes::SearchServer>(
        fakes::SearchServer::Options{ .loop = this->loop,
                                      .id = service + "-" + zone,
                                      .service = service,
                                      .zone = zone,
                                      .seed = seed++ }));
      this->servers.back()->Register(this->store);
    }
  }
  this->Configure(1);
}

RunningInstance::RunningInstance(const engine::Settings& aSettings,
                                 std::function<std::optional<engine::Settings>()> aReadChanged)
  : instance(engine::Instance::Options{ .settings = aSettings,
                                        .wire = adapter::MakeWireCodec(),
                                        .store = adapter::MakeStoreCodec(),
                                        .readChangedSettings = std::move(aReadChanged) })
{
  if (std::error_code error = this->instance.Start()) {
    throw std::system_error(error);
  }
  this->thread = std::thread([this] {
    this->instance.Run();
    this->running = false;
  });
}

RunningInstance::~RunningInstance()
{
  this->instance.Abort();
  this->thread.join();
}

bool
RunningInstance::IsReady()
{
  Caller statusClient(this->instance.StatusAddress());
  statusClient.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  auto response = statusClient.Receive();
  return response && response->result() == http::status::ok;
}

engine::Settings
EngineFixture::SettingsOf(const std::string& aName) const
{
  return engine::Settings{ .instance = aName,
                           .zone = "a",
                           .regions = { { "a", "r" }, { "b", "r" } },
                           .callerAddress = "127.0.0.1:0",
                           .statusAddress = "127.0.0.1:0",
                           .metricsAddress = "127.0.0.1:0",
                           .peerAddress = "127.0.0.1:0",
                           .storeAddress = this->store.Address(),
                           .maxDescriptors = 512,
                           .extraShare = 0.2,
                           .extraMinimum = 500,
                           .watchWait = std::chrono::milliseconds(1000),
                           .drain = std::chrono::milliseconds(1500),
                           .stopWithin = std::chrono::seconds(4) };
}

void
EngineFixture::StartInstance()
{
  this->instance = std::make_unique<RunningInstance>(this->SettingsOf("instance-1"), [this] {
    std::lock_guard guard(this->settingsLock);
    return std::exchange(this->changedSettings, std::nullopt);
  });
}

void
EngineFixture::ChangeSettings(const std::function<void(engine::Settings&)>& aChange)
{
  std::lock_guard guard(this->settingsLock);
  this->changedSettings = this->SettingsOf("instance-1");
  aChange(*this->changedSettings);
}

bool
EngineFixture::SettingsWereRead()
{
  std::lock_guard guard(this->settingsLock);
  return !this->changedSettings.has_value();
}

void
EngineFixture::StopInstance()
{
  this->instance->Get().Stop();
}

bool
EngineFixture::IsReady()
{
  return this->instance->IsReady();
}

bool
EngineFixture::AwaitReady()
{
  return Await([this] { return this->IsReady(); });
}

bool
EngineFixture::Await(const std::function<bool()>& aCondition)
{
  auto deadline = std::chrono::steady_clock::now() + Caller::kTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aCondition();
}

void
EngineFixture::Configure(uint64_t aVersion, const std::function<void(Json::Value&)>& aChange)
{
  Json::Value configuration = MakeConfiguration({ .version = aVersion, .shards = kShards });
  if (aChange) {
    aChange(configuration);
  }
  this->store.Put("config", "main", configuration);
}

fakes::SearchServer&
EngineFixture::ServerOf(const std::string& aService, size_t aIndex)
{
  for (const auto& server : this->servers) {
    if (server->Service() == aService && aIndex-- == 0) {
      return *server;
    }
  }
  throw std::out_of_range("no such server");
}

void
EngineFixture::ForEachServerOf(const std::string& aService,
                               const std::function<void(fakes::SearchServer&)>& aAction)
{
  for (const auto& server : this->servers) {
    if (server->Service() == aService) {
      aAction(*server);
    }
  }
}

int
EngineFixture::RunsOf(const std::string& aId) const
{
  int runs = 0;
  for (const auto& server : this->servers) {
    auto all = server->Runs();
    auto found = all.find(aId);
    runs += found == all.end() ? 0 : found->second;
  }
  return runs;
}

size_t
EngineFixture::ArrivalsAt(const std::string& aService)
{
  size_t arrivals = 0;
  this->ForEachServerOf(aService,
                        [&](fakes::SearchServer& aServer) { arrivals += aServer.Arrivals(); });
  return arrivals;
}

} // namespace sapphirewind::test
