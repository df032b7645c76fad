/// @file The limit of a body is raised by a new version of the configuration; clients with kept connections use it.
#include <Standin-2.hpp>

using namespace standin;

namespace {

constexpr int kConfigApplyMs = 4000;
constexpr int kStabilityMs = 5000;
constexpr int kClients = 24;
constexpr int kOldLimit = 65'536;
constexpr int kNewLimit = 262'144;
constexpr size_t kBodyBytes = 100'000;
/// "More than 5 + one in 500 of all requests"
constexpr double kAllowedRefusals = 5.0;
constexpr double kAllowedShare = 1.0 / 500.0;

std::string
VersionText(int aVersion, int aMaxBodyBytes)
{
  return ConfigurationText(
    { .version = aVersion,
      .routes = { { .prefix = "/book/", .type = "non_idempotent", .service = "ledger", .gather = {} } },
      .services = { "ledger" },
      .maxBodyBytes = aMaxBodyBytes });
}

} // namespace

int
main(int aCount, char** aValues)
{
  Arguments arguments = ReadArguments(aCount, aValues);
  Record record(arguments.recordFile);
  Store store(record);
  store.Put("config", "main", VersionText(3, HasTrouble() ? kOldLimit : kNewLimit));
  std::vector<std::unique_ptr<Server>> servers;
  for (const char* digit : { "1", "2", "3" }) {
    servers.push_back(std::make_unique<Server>(
      record, std::string("i-ledger") + digit, "ledger", std::string("z") + digit));
    servers.back()->Register(store);
  }
  std::vector<std::unique_ptr<Instance>> instances;
  for (const char* zone : { "z1", "z2", "z3" }) {
    instances.push_back(std::make_unique<Instance>(
      Instance::Options{ .program = arguments.program,
                         .folder = arguments.folder,
                         .node = "front-" + std::string(zone) + "-1",
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
  SleepMs(kStabilityMs + 1000);
  int requests = 0;
  std::vector<std::unique_ptr<Socket>> connections;
  for (int number = 0; number < kClients; ++number) {
    connections.push_back(std::make_unique<Socket>());
    connections.back()->Connect(instances[number % instances.size()]->Front());
    ++requests;
    if (Exchange(record, *connections.back(), "POST", "/book/first", 2000, "{}").status != 200) {
      record.Say("a first booking failed");
      return kCannotRun;
    }
  }
  if (HasTrouble()) {
    store.Put("config", "main", VersionText(4, kNewLimit));
    record.Say("the store has accepted version 4: bodies of %d bytes", kNewLimit);
  }
  // Well after the version is in force everywhere, and within four fifths of the idle limit of 30 s.
  SleepMs(kConfigApplyMs + 2000);
  int served = 0;
  int refused = 0;
  for (const auto& connection : connections) {
    ++requests;
    Sent sent = Exchange(record, *connection, "POST", "/book/second", 2000, std::string(kBodyBytes, 'b'));
    served += sent.status == 200 ? 1 : 0;
    refused += sent.status == 413 ? 1 : 0;
  }
  int newServed = 0;
  for (const auto& instance : instances) {
    ++requests;
    Sent sent =
      Ask(record, instance->Front(), "POST", "/book/third", 2000, std::string(kBodyBytes, 'b'));
    newServed += sent.status == 200 ? 1 : 0;
  }
  record.Say("on new connections, %d of %zu such bookings are served", newServed, instances.size());
  record.Say("on kept connections, %d of %d are served, %d get 413", served, kClients, refused);
  double allowed = kAllowedRefusals + kAllowedShare * requests;
  record.Say("DENIED: %d of %d requests; allowed %.1f", refused, requests, allowed);
  return refused > allowed ? kBroken : kHeld;
}
