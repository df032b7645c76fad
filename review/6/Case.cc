/// @file One entry of another writer holds half of a surrogate pair; then the servers of a service are replaced.
#include <Standin-2.hpp>

using namespace standin;

namespace {

constexpr int kDrainMs = 4000;
constexpr int kConfigApplyMs = 4000;
/// How long a leaving server goes on serving after drain_ms: "at times many seconds".
constexpr int kServesLongerMs = 6000;

/// The entry of another writer. The text in "version" was cut in the middle of a character, so that half of a
/// surrogate pair is left; as JSON it is well-formed.
const char* const kForeignEntry =
  R"({"service":"depot","address":"127.0.0.1:9","zone":"z1","version":"3.1 \ud83d",)"
  R"("slots":1,"state":"standby","cold_remaining_ms":0,"seq":1,"born":1700000000000})";

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
  std::vector<std::unique_ptr<Server>> old;
  std::vector<std::unique_ptr<Server>> fresh;
  for (int number = 1; number <= 3; ++number) {
    std::string zone = "z" + std::to_string(number);
    old.push_back(std::make_unique<Server>(record, "i-old" + std::to_string(number), "clerk", zone));
    old.back()->Register(store);
  }
  std::vector<std::unique_ptr<Instance>> instances;
  for (int number = 1; number <= 3; ++number) {
    instances.push_back(std::make_unique<Instance>(
      Instance::Options{ .program = arguments.program,
                         .folder = arguments.folder,
                         .node = "front-z" + std::to_string(number) + "-1",
                         .zone = "z" + std::to_string(number),
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
    int sent = 0;
    for (int round = 0; round < 5; ++round) {
      for (const auto& instance : instances) {
        served += Ask(record, instance->Front(), "GET", "/claims/" + std::to_string(sent)).status == 200;
        ++sent;
      }
      SleepMs(100);
    }
    record.Say("%s: %d of %d requests served", aWhat, served, sent);
    return served;
  };
  if (askAll("before") != 15) {
    return kCannotRun;
  }
  // Longer than the stability window, so that all machines are in touch.
  SleepMs(6000);
  if (HasTrouble()) {
    store.Put("servers", "x-depot-7", kForeignEntry);
    record.Say("another writer's entry x-depot-7 is in the store");
    SleepMs(1000);
  }
  // A release: the new servers start first, then the old ones drain.
  for (int number = 1; number <= 3; ++number) {
    std::string zone = "z" + std::to_string(number);
    fresh.push_back(std::make_unique<Server>(record, "i-new" + std::to_string(number), "clerk", zone));
    fresh.back()->Register(store);
  }
  SleepMs(1000);
  std::map<std::string, Instant> acknowledged;
  for (const auto& server : old) {
    acknowledged[server->Id()] = server->Drain(store);
    record.Line("the store has accepted that %s is draining", server->Id().c_str());
  }
  // No request in this time: none teaches the machines by an answer that a server leaves.
  SleepMs(kDrainMs + 500);
  Instant lateFrom = Clock::now();
  askAll("later than drain_ms after the acknowledgement");
  SleepMs(kServesLongerMs - 2000);
  for (const auto& server : old) {
    server->Process().Stop();
    store.Remove("servers", server->Id());
    record.Line("%s has ended", server->Id().c_str());
  }
  SleepMs(kConfigApplyMs);
  int servedAfter = askAll("after the old servers have ended");
  int late = 0;
  for (const auto& server : old) {
    for (const Server::Run& run : server->Runs()) {
      if (run.at > acknowledged[server->Id()] + Millis(kDrainMs) && run.at >= lateFrom) {
        ++late;
        record.Line("late: %s ran %s %lld ms after the acknowledgement",
                    server->Id().c_str(),
                    run.id.c_str(),
                    static_cast<long long>(std::chrono::duration_cast<Millis>(
                                             run.at - acknowledged[server->Id()])
                                             .count()));
      }
    }
  }
  record.Say("DRAIN: %d requests reached a draining server later than %d ms after the acknowledgement",
             late,
             kDrainMs);
  record.Say("after the release, %d of 15 requests were served", servedAfter);
  return late > 0 ? kBroken : kHeld;
}
