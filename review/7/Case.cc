/// @file A request crashes the server that runs it, the server starts again under its id, and the request comes again.
#include <Standin-2.hpp>

using namespace standin;

namespace {

constexpr int kStabilityMs = 5000;
constexpr int kSends = 9;
constexpr int kBetweenSendsMs = 5000;
/// "more than three retries"
constexpr int kAllowedRetries = 3;
constexpr const char* kTarget = "/book/visit-118";

} // namespace

int
main(int aCount, char** aValues)
{
  Arguments arguments = ReadArguments(aCount, aValues);
  Record record(arguments.recordFile);
  Store store(record);
  store.Put(
    "config",
    "main",
    ConfigurationText(
      { .version = 3,
        .routes = { { .prefix = "/book/", .type = "non_idempotent", .service = "ledger", .gather = {} } },
        .services = { "ledger" } }));
  std::vector<std::unique_ptr<CrashingServer>> servers;
  for (const char* digit : { "1", "2", "3" }) {
    servers.push_back(std::make_unique<CrashingServer>(
      record,
      store,
      CrashingServer::Options{ .id = std::string("i-ledger") + digit,
                               .service = "ledger",
                               .zone = std::string("z") + digit,
                               .crashTarget = kTarget,
                               .keepsId = true }));
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
  // The caller is in z1: its connections reach the two machines there in turn.
  std::vector<Sent> sends;
  int lostBookings = 0;
  for (int number = 0; number < kSends; ++number) {
    Instant due = Clock::now() + Millis(kBetweenSendsMs);
    uint16_t port = instances[number % 2]->Front();
    Sent other{};
    std::thread bystander([&] {
      other = Ask(record, port, "POST", "/book/other-" + std::to_string(number), 2000, "{}");
    });
    SleepMs(100);
    sends.push_back(Ask(record, port, "POST", kTarget, 2000, "{\"visit\":118}"));
    bystander.join();
    lostBookings += other.status == 200 ? 0 : 1;
    std::this_thread::sleep_until(due);
  }
  CrashOutcome outcome = JudgeCrashes(record, servers, sends, kStabilityMs);
  record.Say("%d sends, %d crashes; of %d bookings of others at the same time, %d were lost",
             kSends,
             outcome.crashes,
             kSends,
             lostBookings);
  record.Say("BUDGET: %d retries reached a server later than %d ms after the third crash; allowed %d",
             outcome.lateRetries,
             kStabilityMs,
             kAllowedRetries);
  return outcome.lateRetries > kAllowedRetries ? kBroken : kHeld;
}
