/// @file Two entries of another writer have a space in their names, and a page of the list of servers ends with the
/// first; then all processes are killed.
#include <Standin-2.hpp>

using namespace standin;

namespace {

constexpr int kDownMs = 1000;
constexpr int kRecoveryMs = 12'000;
/// Within max_value_bytes of 1,048,576; two of them are more than a page holds.
constexpr size_t kNoteBytes = 700'000;

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
                                .routes = { { .prefix = "/claims/", .service = "clerk", .gather = {} } },
                                .services = { "clerk" } }));
  std::vector<std::unique_ptr<Server>> servers;
  for (const char* digit : { "1", "2", "3" }) {
    servers.push_back(std::make_unique<Server>(
      record, std::string("i-clerk") + digit, "clerk", std::string("z") + digit));
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
  auto askAll = [&](const char* aWhat) {
    int served = 0;
    for (int number = 0; number < 15; ++number) {
      uint16_t port = instances[number % instances.size()]->Front();
      served += Ask(record, port, "GET", "/claims/" + std::to_string(number)).status == 200 ? 1 : 0;
      SleepMs(50);
    }
    record.Say("%s: %d of 15 requests served", aWhat, served);
    return served;
  };
  if (askAll("before") != 15) {
    return kCannotRun;
  }
  SleepMs(6000);
  if (HasTrouble()) {
    for (const char* name : { "depot unit 7", "depot unit 8" }) {
      store.Put("servers", name, "{\"note\":\"" + std::string(kNoteBytes, 'x') + "\"}");
      record.Say("another writer's entry \"%s\" is in the store", name);
    }
    SleepMs(2000);
  }
  if (askAll("before the final fault") * 4 < 15) {
    return kCannotRun;
  }
  // The final fault.
  for (const auto& instance : instances) {
    instance->Kill();
  }
  SleepMs(kDownMs);
  for (const auto& instance : instances) {
    instance->Start(false);
  }
  record.Say("all processes were killed and are started again");
  SleepMs(kRecoveryMs);
  for (const auto& instance : instances) {
    record.Say("%s is %s", instance->Node().c_str(), instance->IsReady() ? "ready" : "not ready");
  }
  int served = askAll("RECOVER: later than recovery_s after the machines are back");
  return served * 4 < 15 ? kBroken : kHeld;
}
