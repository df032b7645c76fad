/// @file A request that crashes servers is quarantined; then the machines are stopped and started in turn, and it
/// comes again.
#include <Standin-2.hpp>

using namespace standin;

namespace {

constexpr int kStabilityMs = 5000;
constexpr int kGraceMs = 6000;
/// A crashed server is back before the request comes again.
constexpr int kBetweenSendsMs = 5000;
constexpr int kSendsPerMachine = 2;
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
                                .routes = { { .prefix = "/claims/", .service = "clerk", .gather = {} },
                                            { .prefix = "/book/",
                                              .type = "non_idempotent",
                                              .service = "clerk",
                                              .gather = {} } },
                                .services = { "clerk" } }));
  std::vector<std::unique_ptr<CrashingServer>> servers;
  for (const char* digit : { "1", "2", "3", "4" }) {
    servers.push_back(std::make_unique<CrashingServer>(
      record,
      store,
      CrashingServer::Options{ .id = std::string("i-clerk") + digit,
                               .service = "clerk",
                               .zone = std::string("z") + (digit[0] == '4' ? "1" : digit),
                               .crashTarget = kTarget }));
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
  std::vector<Sent> sends;
  int bookings = 0;
  int lostBookings = 0;
  auto sendTo = [&](const Instance& aInstance) {
    Instant due = Clock::now() + Millis(kBetweenSendsMs);
    Sent other{};
    std::thread bystander([&] {
      other = Ask(
        record, aInstance.Front(), "POST", "/book/other-" + std::to_string(bookings), 2000, "{}");
    });
    SleepMs(100);
    sends.push_back(Ask(record, aInstance.Front(), "GET", kTarget));
    record.Say("%s answers %d", aInstance.Node().c_str(), sends.back().status);
    bystander.join();
    ++bookings;
    lostBookings += other.status == 200 ? 0 : 1;
    std::this_thread::sleep_until(due);
  };
  sendTo(*instances[0]);
  sendTo(*instances[1]);
  sendTo(*instances[0]);
  // Planned work: each machine is stopped and started again; the next one follows when it is in touch.
  for (const auto& instance : instances) {
    instance->Signal(SIGTERM);
    if (!instance->AwaitExit(kGraceMs)) {
      instance->Kill();
    }
    instance->Start(false);
    record.Say("%s is started again", instance->Node().c_str());
    if (!instance->AwaitReady(10'000)) {
      return kCannotRun;
    }
    SleepMs(kStabilityMs + 500);
    for (int number = 0; number < kSendsPerMachine; ++number) {
      sendTo(*instance);
    }
  }
  CrashOutcome outcome = JudgeCrashes(record, servers, sends, kStabilityMs);
  record.Say("%zu sends, %d crashes; of %d bookings of others at the same time, %d were lost",
             sends.size(),
             outcome.crashes,
             bookings,
             lostBookings);
  record.Say("BUDGET: %d retries reached a server later than %d ms after the third crash; allowed %d",
             outcome.lateRetries,
             kStabilityMs,
             kAllowedRetries);
  return outcome.lateRetries > kAllowedRetries ? kBroken : kHeld;
}
