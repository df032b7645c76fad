// The entries of three servers are removed between two cuts of the store's watches.
#include <Standin.hpp>

using namespace review;

int
main(int, char** aArguments)
{
  try {
    Deployment deployment(aArguments[1]);
    Record& record = deployment.record;
    deployment.Configure(Deployment::Route("bookings", "/book/", "non_idempotent", "clerk"),
                         Deployment::Service("clerk"));
    for (int number = 0; number < 6; ++number) {
      deployment.AddServer("clerk", 30);
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
    // Half of the servers leave without reporting it.
    std::vector<Server*> leaving;
    for (size_t number = 0; number < 3; ++number) {
      leaving.push_back(deployment.servers[number].get());
    }
    int64_t removedAt = 0;
    for (Server* server : leaving) {
      removedAt = deployment.store.Remove("servers", server->Id());
      record.Say("store: acknowledged the removal of the entry of " + server->Id());
    }
    SleepUntilMs(removedAt + 1500);
    cutWatches();
    int64_t lastCutAt = NowMs();
    // One goes on for drain_ms and a little longer, the others for some seconds more.
    SleepUntilMs(removedAt + kDrainMs + 600);
    leaving.front()->Exit();
    SleepUntilMs(removedAt + kDrainMs + 4000);
    for (Server* server : leaving) {
      server->Exit();
    }
    SleepMs(2000);
    clients.Stop();

    std::map<std::string, Clients::Sent> sent;
    for (const Clients::Sent& entry : clients.All()) {
      sent[entry.id] = entry;
    }
    int late = 0;
    int lateAfterWindow = 0;
    int lost = 0;
    int64_t last = removedAt;
    std::set<std::string> instances;
    for (Server* server : leaving) {
      for (const Server::Run& run : server->Runs()) {
        const Clients::Sent& request = sent[run.request];
        last = std::max(last, run.at);
        if (request.at <= removedAt + kDrainMs) {
          continue;
        }
        ++late;
        lost += run.answered ? 0 : 1;
        instances.insert(request.instance);
        lateAfterWindow += request.at > lastCutAt + kStabilityMs ? 1 : 0;
        record.Line("late: " + run.request + " sent at " + std::to_string(request.at) +
                    ", run at " + std::to_string(run.at) + " by " + run.server +
                    ", which is gone, answered " + std::to_string(request.status));
      }
    }
    record.Say("requests sent: " + std::to_string(sent.size()) +
               "; the last one reached a server that is gone " + std::to_string(last - removedAt) +
               " ms after the acknowledgement");
    record.Say(
      "requests that clients sent over drain_ms after it and that these servers ran: " +
      std::to_string(late) + " by " + std::to_string(instances.size()) +
      " of 3 instances; bookings among them that were lost: " + std::to_string(lost) +
      "; sent over stability_window_ms after the last cut: " + std::to_string(lateAfterWindow));
    // A cut of a watch counts as a reset of a connection here, so a machine is in touch again
    // stability_window_ms after it.
    record.Say(lateAfterWindow > 0 ? "DRAIN broken" : "DRAIN held");
    return lateAfterWindow > 0 ? kBroken : kHeld;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCannotRun;
  }
}
