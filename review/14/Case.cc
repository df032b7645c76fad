// A request that crashes servers comes again and again, while all machines are killed at once, twice.
#include "../Standin-3.hpp"

using namespace standin;

namespace {

constexpr int kDeadlineMs = 6000;
/// Bounds of the small deployment.
constexpr int64_t kStabilityMs = 5000;
/// Three heartbeats of silence, after which the entry of a server is removed, and when a crashed one is back.
constexpr int64_t kEntryGoneMs = 3600;
constexpr int64_t kServerBackMs = 3900;
/// Processes that were killed start again after this time.
constexpr int64_t kDownMs = 1000;
constexpr int kServers = 6;
constexpr const char* kPoison = "/pull/poison";

struct Attempt
{
  std::string id;
  int64_t sentMs = 0;
};

class Site
{
public:
  Site(Record& aRecord, Store& aStore, Runs& aRuns)
    : record(aRecord)
    , store(aStore)
    , runs(aRuns)
  {
  }

  void AddServer(const std::string& aZone)
  {
    std::lock_guard guard(this->lock);
    std::string id = "s" + std::to_string(this->servers.size()) + "-" + aZone;
    this->servers.push_back(std::make_unique<Server>(
      Server::Options{ .id = id, .service = "claims-clerk", .zone = aZone }, this->store, this->runs));
    Server* server = this->servers.back().get();
    server->SetBehaviour([this, server, aZone](const Message& aRequest, Connection&) {
      return this->Run(*server, aZone, aRequest);
    });
    server->Register();
  }

  /// When each crash happened.
  std::vector<int64_t> Crashes()
  {
    std::lock_guard guard(this->lock);
    return this->crashes;
  }

private:
  std::optional<std::string> Run(Server& aServer, const std::string& aZone, const Message& aRequest)
  {
    this->runs.Add(aRequest, aServer.Id());
    bool isPoison = aRequest.Target() == kPoison;
    SleepMs(isPoison ? 60 : 300);
    if (!isPoison) {
      return aServer.UsualAnswer(aRequest);
    }
    {
      std::lock_guard guard(this->lock);
      if (!this->crashed.insert(aServer.Id()).second) {
        return "";
      }
      this->crashes.push_back(NowMs());
    }
    this->record.Line("%s crashes", aServer.Id().c_str());
    aServer.Crash();
    std::thread([this, id = aServer.Id(), aZone] {
      SleepMs(kEntryGoneMs);
      this->store.Remove("servers", id);
      SleepMs(kServerBackMs - kEntryGoneMs);
      this->AddServer(aZone);
    }).detach();
    return "";
  }

  Record& record;
  Store& store;
  Runs& runs;
  std::mutex lock;
  std::vector<std::unique_ptr<Server>> servers;
  std::set<std::string> crashed;
  std::vector<int64_t> crashes;
};

int
Send(Instance& aInstance, const std::string& aText)
{
  auto client = Connect(aInstance.Front());
  if (!client || !client->Send(aText)) {
    return 0;
  }
  auto answer = client->Receive(Clock::now() + std::chrono::milliseconds(kDeadlineMs + 500));
  return answer ? answer->Status() : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 2) {
    return kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  StartOfRun();
  bool trouble = HasTrouble();
  Record record(std::string(aArguments[1]) + "/record.txt");
  record.Line("all machines are killed: %s", trouble ? "twice" : "never");
  Runs runs(record);
  Store store(record);
  Site site(record, store, runs);
  const std::vector<std::string> zones = { "bay-a", "granite-a", "river-a" };
  for (int number = 0; number < kServers; ++number) {
    site.AddServer(zones[static_cast<size_t>(number) % zones.size()]);
  }
  store.Put("config",
            "main",
            "{\"version\":3,\"routes\":["
            "{\"name\":\"pull\",\"host\":\"shop.example\",\"path_prefix\":\"/pull/\",\"service\":\"claims-clerk\","
            "\"type\":\"idempotent\",\"timeout_ms\":6000,\"slo_ms\":1200,\"attempts\":2,\"priority\":2},"
            "{\"name\":\"book\",\"host\":\"shop.example\",\"path_prefix\":\"/book/\",\"service\":\"claims-clerk\","
            "\"type\":\"non_idempotent\",\"timeout_ms\":6000,\"slo_ms\":1200,\"attempts\":2,\"priority\":2}],"
            "\"services\":[{\"name\":\"claims-clerk\",\"health_check\":\"/health\",\"max_conns\":96}]," +
              std::string(kLimits) + "}");
  std::string folder = TemporaryFolder();
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<Instance*> all;
  for (const std::string& zone : zones) {
    instances.push_back(std::make_unique<Instance>(Instance::Options{
      .name = "front-" + zone + "-1", .zone = zone, .storeAddress = store.Address(), .folder = folder }));
    all.push_back(instances.back().get());
    all.back()->Start();
  }
  auto awaitReady = [&] {
    for (Instance* instance : all) {
      if (!instance->AwaitReady(10'000)) {
        record.Line("%s was not ready in time", instance->Name().c_str());
        Finish(kCannotRun, all, folder);
      }
    }
  };
  awaitReady();

  std::vector<Attempt> attempts;
  int bookingsLost = 0;
  int bookings = 0;
  auto come = [&](size_t aInstance) {
    // Other callers' bookings are under way when the request comes.
    std::vector<std::thread> others;
    std::atomic<int> lost{ 0 };
    for (int number = 0; number < 6; ++number) {
      std::string id = "b" + std::to_string(100 * attempts.size() + static_cast<size_t>(number));
      others.emplace_back([&, id, number] {
        int status =
          Send(*all[static_cast<size_t>(number) % all.size()],
               Request("POST", "shop.example", "/book/" + id, id, kDeadlineMs, "{\"porch\":1}"));
        lost += status != 200 && !runs.Of(id).empty() ? 1 : 0;
      });
    }
    SleepMs(100);
    std::string id = "p" + std::to_string(attempts.size());
    attempts.push_back({ .id = id, .sentMs = NowMs() });
    record.Line("%s comes at %s", id.c_str(), all[aInstance]->Name().c_str());
    int status = Send(*all[aInstance], Request("GET", "shop.example", kPoison, id, kDeadlineMs));
    record.Line("%s: answer %d, reached %zu servers", id.c_str(), status, runs.Of(id).size());
    for (std::thread& other : others) {
      other.join();
    }
    bookings += 6;
    bookingsLost += lost;
    SleepMs(std::max<int64_t>(0, attempts.back().sentMs + kStabilityMs + 600 - NowMs()));
  };
  auto killAll = [&] {
    if (trouble) {
      record.Line("all machines are killed");
      for (Instance* instance : all) {
        instance->Kill();
      }
      SleepMs(kDownMs);
      for (Instance* instance : all) {
        instance->SetFirstStart(false);
        instance->Start();
      }
      awaitReady();
    }
    // All are in touch again.
    SleepMs(kStabilityMs + 300);
  };

  SleepMs(kStabilityMs);
  for (size_t round = 0; round < 3; ++round) {
    for (size_t time = 0; time < 3; ++time) {
      come((round + time) % all.size());
    }
    if (round < 2) {
      killAll();
    }
  }

  std::vector<int64_t> crashes = site.Crashes();
  int64_t third = crashes.size() < 3 ? INT64_MAX : crashes[2];
  int late = 0;
  for (const Attempt& attempt : attempts) {
    size_t reached = runs.Of(attempt.id).size();
    bool isLate = third != INT64_MAX && attempt.sentMs > third + kStabilityMs;
    late += isLate && reached > 0 ? 1 : 0;
  }
  record.Line("%zu servers crashed; of %d bookings of others %d ran and were lost", crashes.size(), bookings, bookingsLost);
  record.Line("retries later than the stability window after the third crash that reached servers: %d", late);
  bool broken = late > 3;
  record.Line("BUDGET %s", broken ? "broken" : "held");
  Finish(broken ? 1 : 0, all, folder);
}
