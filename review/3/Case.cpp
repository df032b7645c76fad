// A server's entry is removed between two cuts of the store's watches.
#include <Standin.h>

using namespace review;

int
main(int, char** aArguments)
{
  try {
    Deployment deployment(aArguments[1]);
    Record& record = deployment.record;
    deployment.Configure(Deployment::Route("bookings", "/book/", "non_idempotent", "clerk"),
                         Deployment::Service("clerk"));
    for (int number = 0; number < 3; ++number) {
      deployment.AddServer("clerk", 300);
    }
    if (!deployment.StartInstances(3)) {
      record.Say("the instances did not get ready");
      return kCannotRun;
    }
    Clients clients({ .deployment = deployment, .path = "/book/1", .clients = 8, .pauseMs = 20 });
    // After this, every machine is in touch, and the extra calls of the start are over.
    SleepMs(kStabilityMs + 5000);
    auto cutWatches = [&] {
      if (WithTrouble()) {
        deployment.store.CutWatches();
        record.Say("store: cuts off the watches that wait");
      }
    };
    cutWatches();
    SleepMs(1000);
    Server& leaving = *deployment.servers.front();
    std::string id = leaving.Id();
    int64_t removedAt = deployment.store.Remove("servers", id);
    record.Say("store: acknowledged the removal of the entry of " + id);
    SleepUntilMs(removedAt + 1500);
    cutWatches();
    int64_t lastCutAt = NowMs();
    // The server goes on for drain_ms and some seconds more.
    SleepUntilMs(removedAt + kDrainMs + 4000);
    leaving.Exit();
    SleepMs(2000);
    clients.Stop();

    std::map<std::string, Clients::Sent> sent;
    for (const Clients::Sent& entry : clients.All()) {
      sent[entry.id] = entry;
    }
    int late = 0;
    int lateAfterWindow = 0;
    int64_t last = removedAt;
    std::set<std::string> instances;
    for (const Server::Run& run : leaving.Runs()) {
      const Clients::Sent& request = sent[run.request];
      last = std::max(last, run.at);
      if (request.at <= removedAt + kDrainMs) {
        continue;
      }
      ++late;
      instances.insert(request.instance);
      bool afterWindow = request.at > lastCutAt + kStabilityMs;
      lateAfterWindow += afterWindow ? 1 : 0;
      record.Line("late: " + run.request + " sent at " + std::to_string(request.at) +
                  ", run at " + std::to_string(run.at) + " by the server that is gone, answered " +
                  std::to_string(request.status));
    }
    record.Say("requests sent: " + std::to_string(sent.size()) + "; the last one reached " + id +
               " " + std::to_string(last - removedAt) + " ms after the acknowledgement");
    record.Say("requests that clients sent over drain_ms after it and that " + id +
               " ran: " + std::to_string(late) + " by " + std::to_string(instances.size()) +
               " of 3 instances; of these sent over stability_window_ms after the last cut: " +
               std::to_string(lateAfterWindow));
    // A cut of a watch counts as a reset of a connection here, so a machine is in touch again
    // stability_window_ms after it.
    record.Say(lateAfterWindow > 0 ? "DRAIN broken" : "DRAIN held");
    return lateAfterWindow > 0 ? kBroken : kHeld;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCannotRun;
  }
}
