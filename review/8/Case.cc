/// @file A request crashes the server that runs it, and its caller leaves before the second server has answered.
#include <Standin-2.hpp>
#include <array>

using namespace standin;

namespace {

constexpr int kStabilityMs = 5000;
constexpr int kSends = 9;
constexpr int kBetweenSendsMs = 5000;
constexpr int kObjectiveMs = 1200;
/// Clients leave within half the objective.
constexpr int kLeavesAfterMs = kObjectiveMs / 2;
constexpr int kCrashAfterMs = 450;
/// Ordinary requests before, from which the machines learn how long such work takes.
constexpr int kOrdinary = 6;
/// "more than three retries"
constexpr int kAllowedRetries = 3;
constexpr const char* kTarget = "/claims/visit-118";

} // namespace

int
main(int aCount, char** aValues)
{
  Arguments arguments = ReadArguments(aCount, aValues);
  Record record(arguments.recordFile);
  Store store(record);
  store.Put("config",
            "main",
            ConfigurationText({ .version = 3,
                                .routes = { { .prefix = "/claims/",
                                              .service = "clerk",
                                              .gather = {},
                                              .objectiveMs = kObjectiveMs },
                                            { .prefix = "/book/",
                                              .type = "non_idempotent",
                                              .service = "clerk",
                                              .gather = {} } },
                                .services = { "clerk" } }));
  std::vector<std::unique_ptr<CrashingServer>> servers;
  for (const char* digit : { "1", "2", "3" }) {
    servers.push_back(std::make_unique<CrashingServer>(
      record,
      store,
      CrashingServer::Options{ .id = std::string("i-clerk") + digit,
                               .service = "clerk",
                               .zone = std::string("z") + digit,
                               .crashTarget = kTarget,
                               .crashAfterMs = kCrashAfterMs }));
  }
  std::vector<std::unique_ptr<Instance>> instances;
  for (const char* zone : { "z1", "z1", "z2", "z3" }) {
    instances.push_back(std::make_unique<Instance>(
      Instance::Options{ .program = arguments.program,
                         .folder = arguments.folder,
                         .node = "front-" + std::string(zone) + "-" + std::to_string(instances.size() + 1),
                         .zone = zone,
                         .store = store.Address() }));
    instances.back()->Start(true);
  }
  for (const auto& instance : instances) {
    if (!instance->AwaitReady(10'000)) {
      record.Say("%s did not become ready", instance->Node().c_str());
      return kCannotRun;
    }
  }
  // Until the machines know each other and are in touch.
  SleepMs(9000);
  for (int number = 0; number < 2 * kOrdinary; ++number) {
    Ask(record, instances[number % 2]->Front(), "GET", "/claims/visit-" + std::to_string(number));
  }
  std::vector<Sent> sends;
  int lostBookings = 0;
  for (int number = 0; number < kSends; ++number) {
    Instant due = Clock::now() + Millis(kBetweenSendsMs);
    uint16_t port = instances[number % 2]->Front();
    // Four clients are there, two at the machine in z1, one each in z2 and z3; one of the four leaves.
    std::array<Sent, 3> others;
    const std::array<uint16_t, 3> ports = { port, instances[2]->Front(), instances[3]->Front() };
    std::vector<std::thread> staying;
    for (size_t client = 0; client < others.size(); ++client) {
      staying.emplace_back([&, client] {
        SleepMs(kCrashAfterMs - 200);
        others[client] = Ask(record, ports[client], "POST", "/book/other-" + std::to_string(number), 2000, "{}");
      });
    }
    {
      Socket caller;
      caller.Connect(port);
      sends.push_back({ .id = NewId(), .target = kTarget, .at = Clock::now(), .answer = {} });
      record.Line("client sends %s GET %s", sends.back().id.c_str(), kTarget);
      caller.Send(RequestText("GET", kTarget, sends.back().id, 2000, ""));
      auto answer = caller.Receive(sends.back().at + Millis(kLeavesAfterMs), true);
      record.Line("client %s %s %d",
                  answer ? "gets" : "leaves",
                  sends.back().id.c_str(),
                  answer ? answer->Status() : 0);
    }
    for (std::thread& client : staying) {
      client.join();
    }
    for (const Sent& other : others) {
      lostBookings += other.status == 200 ? 0 : 1;
    }
    std::this_thread::sleep_until(due);
  }
  CrashOutcome outcome = JudgeCrashes(record, servers, sends, kStabilityMs);
  record.Say("%d sends, %d crashes; of %d bookings of others at the same time, %d were lost",
             kSends,
             outcome.crashes,
             3 * kSends,
             lostBookings);
  record.Say("BUDGET: %d retries reached a server later than %d ms after the third crash; allowed %d",
             outcome.lateRetries,
             kStabilityMs,
             kAllowedRetries);
  return outcome.lateRetries > kAllowedRetries ? kBroken : kHeld;
}
