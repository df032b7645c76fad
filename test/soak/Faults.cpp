#include "Faults.h"

#include <algorithm>
#include <csignal>

namespace sapphirewind::test {

namespace {

/// Faults last up to this long: beyond the tier's own time limits of a second or so.
constexpr base::Duration kLongestFault = std::chrono::milliseconds(2500);

} // namespace

Faults::Faults(Fleet& aFleet, uint64_t aSeed)
  : fleet(aFleet)
  , random(aSeed)
{
}

InstanceProcess&
Faults::AnyInstance()
{
  return this->fleet.instances[base::UniformIndex(this->random, this->fleet.instances.size())];
}

LinkedServer&
Faults::AnyServer()
{
  return this->fleet.servers[base::UniformIndex(this->random, this->fleet.servers.size())];
}

void
Faults::EndLater(base::Instant aNow, std::function<void()> aEnd)
{
  auto longest = static_cast<size_t>(kLongestFault.count());
  base::Duration time(static_cast<int64_t>(base::UniformIndex(this->random, longest)));
  this->endings.push_back({ .at = aNow + time, .end = std::move(aEnd) });
}

std::string
Faults::Step(base::Instant aNow)
{
  this->fleet.RestartEnded();
  for (Ending& ending : this->endings) {
    if (ending.at <= aNow) {
      ending.end();
    }
  }
  std::erase_if(this->endings, [&](const Ending& aEnding) { return aEnding.at <= aNow; });
  switch (base::UniformIndex(this->random, 6)) {
    case 0:
      return this->HarmProcess(aNow);
    case 1:
      return this->HarmStore(aNow);
    case 2:
      return this->HarmLink(aNow);
    case 3:
    case 4:
      return this->HarmServer(aNow);
    default:
      return this->PlanWork(aNow);
  }
}

std::string
Faults::HarmProcess(base::Instant aNow)
{
  InstanceProcess& instance = this->AnyInstance();
  if (base::UniformIndex(this->random, 2) == 0) {
    this->fleet.Signal(instance, SIGKILL);
    return "kill " + instance.callerAddress;
  }
  this->fleet.Signal(instance, SIGSTOP);
  this->EndLater(aNow, [this, &instance] { this->fleet.Signal(instance, SIGCONT); });
  return "pause " + instance.callerAddress;
}

std::string
Faults::HarmStore(base::Instant aNow)
{
  size_t kind = base::UniformIndex(this->random, 3);
  if (kind == 0) {
    this->fleet.store.CompactHistory();
    return "the store forgets its history";
  }
  this->fleet.store.SetMode(kind == 1 ? fakes::ObjectStore::Mode::Unresponsive
                                      : fakes::ObjectStore::Mode::Unavailable);
  this->EndLater(aNow, [this] { this->fleet.store.SetMode(fakes::ObjectStore::Mode::Serving); });
  return kind == 1 ? "the store is silent" : "the store is busy";
}

std::string
Faults::HarmLink(base::Instant aNow)
{
  bool toStore = base::UniformIndex(this->random, 2) == 0;
  fakes::Relay& link = toStore ? *this->AnyInstance().storeLink : *this->AnyServer().link;
  std::string where = toStore ? "a link to the store" : "a link to a server";
  switch (base::UniformIndex(this->random, 4)) {
    case 0:
      link.SetCut(true);
      this->EndLater(aNow, [&link] { link.SetCut(false); });
      return "reset " + where;
    case 1:
      link.SetHold(true);
      this->EndLater(aNow, [&link] { link.SetHold(false); });
      return "silence " + where;
    case 2:
      link.SetHoldAnswers(true);
      this->EndLater(aNow, [&link] { link.SetHoldAnswers(false); });
      return "cut one way " + where;
    default:
      link.SetDelay(std::chrono::milliseconds(20));
      this->EndLater(aNow, [&link] { link.SetDelay(base::Duration(0)); });
      return "delay " + where;
  }
}

std::string
Faults::HarmServer(base::Instant aNow)
{
  fakes::SearchServer& server = *this->AnyServer().server;
  fakes::ServerBehaviour behaviour;
  size_t kind = base::UniformIndex(this->random, 8);
  switch (kind) {
    case 0:
      behaviour.shedProbability = 0.5;
      break;
    case 1:
      behaviour.resetProbability = 0.3;
      break;
    case 2:
      behaviour.truncateProbability = 0.3;
      break;
    case 3:
      behaviour.extraAnswerProbability = 0.3;
      break;
    case 4:
      behaviour.failProbability = 0.5;
      break;
    case 5:
      behaviour.unresponsive = true;
      break;
    case 6:
      behaviour.serviceTime = std::chrono::milliseconds(60);
      break;
    default:
      server.SetDown(true);
      this->EndLater(aNow, [&server] { server.SetDown(false); });
      return "down " + server.Id();
  }
  server.SetBehaviour(behaviour);
  this->EndLater(aNow, [&server] { server.SetBehaviour({}); });
  return "harm " + server.Id() + " kind " + std::to_string(kind);
}

std::string
Faults::PlanWork(base::Instant aNow)
{
  switch (base::UniformIndex(this->random, 4)) {
    case 0:
      this->fleet.Configure();
      return "configure";
    case 1: {
      InstanceProcess& instance = this->AnyInstance();
      this->fleet.Signal(instance, SIGTERM);
      return "stop " + instance.callerAddress;
    }
    case 2: {
      InstanceProcess& instance = this->AnyInstance();
      this->fleet.Signal(instance, SIGHUP);
      return "hang up " + instance.callerAddress;
    }
    default: {
      LinkedServer& server = this->AnyServer();
      this->fleet.Register(server, "draining");
      this->EndLater(aNow, [this, &server] { this->fleet.Register(server, "ready"); });
      return "drain " + server.server->Id();
    }
  }
}

} // namespace sapphirewind::test
