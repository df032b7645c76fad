#include "Fleet.h"

#include "TestConfiguration.h"

#include <csignal>
#include <document/Document.h>
#include <fcntl.h>
#include <fstream>
#include <net/Message.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace sapphirewind::test {

namespace {

constexpr const char* kLoopback = "127.0.0.1";

/// A port that was free just now, below the range that systems hand out.
uint16_t
FreePort(base::Random& aRandom)
{
  boost::asio::io_context loop;
  while (true) {
    auto port = static_cast<uint16_t>(17'000 + base::UniformIndex(aRandom, 14'000));
    engine::Tcp::acceptor probe(loop);
    if (!engine::Listen(probe, { boost::asio::ip::make_address(kLoopback), port })) {
      return port;
    }
  }
}

std::string
AddressOf(uint16_t aPort)
{
  return std::string(kLoopback) + ":" + std::to_string(aPort);
}

std::unique_ptr<fakes::Relay>
LinkTo(const std::string& aAddress)
{
  net::Endpoint target;
  net::ParseEndpoint(aAddress, target);
  auto link =
    std::make_unique<fakes::Relay>(net::Endpoint{ .address = kLoopback, .port = 0 }, target);
  if (std::error_code error = link->Start()) {
    throw std::system_error(error);
  }
  return link;
}

} // namespace

Fleet::Fleet(Options aOptions)
  : store(this->loop)
  , options(std::move(aOptions))
{
  std::vector<std::string> services = { "p" };
  for (size_t shard = 0; shard < kShards; ++shard) {
    services.push_back("s" + std::to_string(shard));
  }
  uint64_t seed = this->options.seed;
  for (const std::string& service : services) {
    for (const char* replica : { "a", "b", "c" }) {
      LinkedServer server;
      server.server = std::make_unique<fakes::SearchServer>(
        fakes::SearchServer::Options{ .loop = this->loop,
                                      .id = service + "-" + replica,
                                      .service = service,
                                      .zone = replica,
                                      .seed = seed++ });
      server.link = LinkTo(server.server->Address());
      this->Register(server, "ready");
      this->servers.push_back(std::move(server));
    }
  }
  this->Configure();
  for (size_t number = 0; number < this->options.instances; ++number) {
    this->instances.push_back(this->Describe(number));
    this->StartProcess(this->instances.back());
  }
}

Fleet::~Fleet()
{
  for (InstanceProcess& instance : this->instances) {
    if (instance.pid != 0) {
      kill(instance.pid, SIGKILL);
      waitpid(instance.pid, nullptr, 0);
    }
  }
}

InstanceProcess
Fleet::Describe(size_t aNumber)
{
  base::Random random(this->options.seed * 1000 + aNumber + static_cast<uint64_t>(getpid()));
  InstanceProcess instance;
  instance.storeLink = LinkTo(this->store.Address());
  instance.callerAddress = AddressOf(FreePort(random));
  instance.statusAddress = AddressOf(FreePort(random));
  Json::Value settings;
  settings["instance"] = "instance-" + std::to_string(aNumber);
  settings["zone"] = std::string(1, static_cast<char>('a' + aNumber % 3));
  for (const char* zone : { "a", "b", "c" }) {
    settings["regions"][zone] = "r";
  }
  settings["listen_callers"] = instance.callerAddress;
  settings["listen_status"] = instance.statusAddress;
  settings["listen_metrics"] = AddressOf(FreePort(random));
  settings["listen_peers"] = AddressOf(FreePort(random));
  settings["store"] = AddressOf(instance.storeLink->Port());
  settings["max_descriptors"] = 512;
  settings["extra_share"] = 0.2;
  settings["extra_minimum"] = 50;
  settings["stability_window"] = "3000ms";
  settings["drain"] = "3000ms";
  settings["stop_within"] = "5s";
  instance.settingsFile =
    (this->options.folder / ("instance-" + std::to_string(aNumber) + ".json")).string();
  std::ofstream(instance.settingsFile) << document::WriteIndented(settings);
  return instance;
}

void
Fleet::StartProcess(InstanceProcess& aInstance)
{
  std::string flag = "--settings=" + aInstance.settingsFile;
  std::string log = aInstance.settingsFile + ".log";
  int started[2];
  if (pipe2(started, O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "pipe2");
  }
  pid_t pid = fork();
  if (pid == 0) {
    // An instance never outlives the soak that started it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    // Inherited sockets would keep the stand-ins' connections and ports open after they close them.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    execl(this->options.program.c_str(), this->options.program.c_str(), flag.c_str(), nullptr);
    _exit(127);
  }
  close(started[1]);
  // The end of the pipe comes with the exec: a process that is paused before it would hold sockets.
  char nothing = 0;
  while (read(started[0], &nothing, 1) < 0 && errno == EINTR) {
  }
  close(started[0]);
  aInstance.pid = pid;
}

void
Fleet::Signal(InstanceProcess& aInstance, int aSignal)
{
  if (aInstance.pid != 0) {
    kill(aInstance.pid, aSignal);
  }
}

void
Fleet::RestartEnded()
{
  for (InstanceProcess& instance : this->instances) {
    bool ended = instance.pid != 0 && waitpid(instance.pid, nullptr, WNOHANG) == instance.pid;
    if (ended) {
      this->StartProcess(instance);
    }
  }
}

bool
Fleet::IsReady(const InstanceProcess& aInstance) const
{
  Caller balancer(aInstance.statusAddress);
  balancer.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  auto answer = balancer.Receive();
  return answer && answer->result_int() == 200;
}

void
Fleet::Register(LinkedServer& aServer, const std::string& aState)
{
  aServer.server->Register(this->store, aState, AddressOf(aServer.link->Port()));
  aServer.registered = aState == "ready";
}

void
Fleet::Configure()
{
  ++this->version;
  Json::Value root = MakeConfiguration(
    { .version = this->version, .shards = kShards, .minCoverage = kLeastCoverage });
  if (this->version % 2 == 1) {
    Json::Value extra = MakeRoute("/extra/", "idempotent");
    extra["service"] = "p";
    root["routes"].append(extra);
  }
  this->store.Put("config", "main", root);
}

void
Fleet::Heal()
{
  this->store.SetMode(fakes::ObjectStore::Mode::Serving);
  auto heal = [](fakes::Relay& aLink) {
    aLink.SetCut(false);
    aLink.SetHold(false);
    aLink.SetHoldAnswers(false);
    aLink.SetDelay(base::Duration(0));
  };
  for (LinkedServer& server : this->servers) {
    heal(*server.link);
    server.server->SetBehaviour({});
    server.server->SetDown(false);
    this->Register(server, "ready");
  }
  for (InstanceProcess& instance : this->instances) {
    heal(*instance.storeLink);
    this->Signal(instance, SIGCONT);
  }
}

int
Fleet::RunsOf(const std::string& aId) const
{
  int runs = 0;
  for (const LinkedServer& server : this->servers) {
    auto all = server.server->Runs();
    auto found = all.find(aId);
    runs += found == all.end() ? 0 : found->second;
  }
  return runs;
}

} // namespace sapphirewind::test
