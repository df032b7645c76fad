#include "ScenarioFixture.h"

#include <base/Random.h>
#include <csignal>
#include <document/Document.h>
#include <fstream>
#include <iostream>
#include <operations/Apply.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sapphirewind::test {

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr base::Duration kReadyTimeout = std::chrono::seconds(30);
constexpr base::Duration kPollInterval = std::chrono::milliseconds(50);
constexpr base::Duration kStatusTimeout = std::chrono::milliseconds(800);
constexpr size_t kLoadThreads = 96;

fakes::ServicePlan
ParsePlan(const std::string& aSpec)
{
  static const std::regex kPattern(R"(([a-z]+):(\d+)x(\d+):(\d+):(\d+))");
  std::smatch match;
  if (!std::regex_match(aSpec, match, kPattern)) {
    throw StepFailed("upstreams must be NAME:GROUPSxREPLICAS:SLOTS:CONNECTIONS");
  }
  fakes::ServicePlan plan;
  plan.name = match[1];
  plan.groups = std::stoul(match[2]);
  plan.replicas = std::stoul(match[3]);
  plan.slots = std::stoul(match[4]);
  plan.connectionLimit = std::stoul(match[5]);
  return plan;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw StepFailed("cannot read " + aPath);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

ScenarioFixture::ScenarioFixture(FixtureOptions aOptions)
  : options(std::move(aOptions))
  , platform(net::Endpoint{ .address = kLoopback, .port = this->options.firstPort })
{
  if (std::error_code error = this->platform.Start()) {
    throw StepFailed("cannot start the fake platform: " + error.message());
  }
}

ScenarioFixture::~ScenarioFixture()
{
  this->stopping = true;
  this->WaitForBackground();
  for (std::thread& thread : this->loads) {
    thread.join();
  }
  if (this->generationWatcher.joinable()) {
    this->generationWatcher.join();
  }
  for (InstanceProcess& instance : this->instances) {
    if (!instance.exited) {
      kill(instance.pid, SIGKILL);
      waitpid(instance.pid, nullptr, 0);
    }
  }
}

void
ScenarioFixture::StartUpstreams(const std::string& aSpec,
                                double aMeanMs,
                                const std::vector<std::string>& aRegions)
{
  fakes::ServicePlan plan = ParsePlan(aSpec);
  plan.regions = aRegions;
  fakes::FleetOptions fleetOptions{ .services = { plan },
                                    .time = { .meanMs = aMeanMs, .sigma = 0.6, .seed = this->seed },
                                    .connectionCost = std::chrono::milliseconds(2),
                                    .firstPort =
                                      static_cast<uint16_t>(this->options.firstPort + 20),
                                    .serial = 1 };
  this->fleet = std::make_unique<fakes::Fleet>(fleetOptions);
  if (std::error_code error = this->fleet->Start()) {
    throw StepFailed("cannot start the fake upstreams: " + error.message());
  }
  this->PublishSnapshots({ 1 });
}

void
ScenarioFixture::PublishSnapshots(const std::vector<int64_t>& aSerials)
{
  for (const fakes::ServicePlan& plan : this->fleet->Options().services) {
    Json::Value servers;
    servers["servers"] = Json::Value(Json::arrayValue);
    for (const model::ServerRecord& record : this->fleet->Records(plan.name)) {
      servers["servers"].append(model::ToJson(record));
    }
    this->Platform().ForceWrite(platform::kServersPrefix + plan.name, servers);
    this->Platform().ForceWrite(platform::kIndexPrefix + plan.name,
                                model::ToJson(this->fleet->Index(plan.name, aSerials)));
  }
}

void
ScenarioFixture::RegisterInstances()
{
  Json::Value list;
  list["instances"] = Json::Value(Json::arrayValue);
  for (size_t number = 1; number <= this->instances.size(); ++number) {
    model::InstanceRecord record{ .name = "i" + std::to_string(number),
                                  .address = std::string(kLoopback) + ":" +
                                             std::to_string(this->instances[number - 1].port),
                                  .region = this->instances[number - 1].region,
                                  .zone = this->instances[number - 1].region + "a",
                                  .leaving = false };
    list["instances"].append(model::ToJson(record));
  }
  this->Platform().ForceWrite(platform::kInstancesObject, list);
}

void
ScenarioFixture::StartInstances(size_t aCount, const std::vector<std::string>& aRegions)
{
  for (size_t number = 1; number <= aCount; ++number) {
    InstanceProcess instance;
    instance.port = static_cast<uint16_t>(this->options.firstPort + number);
    instance.region = aRegions[(number - 1) % aRegions.size()];
    instance.settingsFile = this->options.folder + "/i" + std::to_string(number) + ".json";
    this->instances.push_back(instance);
  }
  for (size_t number = 1; number <= aCount; ++number) {
    Json::Value settings;
    settings["name"] = "i" + std::to_string(number);
    settings["region"] = this->instances[number - 1].region;
    settings["availability_zone"] = this->instances[number - 1].region + "a";
    settings["listen"] =
      std::string(kLoopback) + ":" + std::to_string(this->instances[number - 1].port);
    settings["platform"] = std::string(kLoopback) + ":" + std::to_string(this->options.firstPort);
    settings["balancer_lag"] = "1s";
    settings["stop_within"] = "30s";
    settings["log_file"] = this->options.folder + "/i" + std::to_string(number) + ".log";
    for (const InstanceProcess& other : this->instances) {
      settings["seeds"].append(std::string(kLoopback) + ":" + std::to_string(other.port));
    }
    std::ofstream(this->instances[number - 1].settingsFile)
      << document::SerializeIndented(settings);
  }
  this->RegisterInstances();
  for (size_t number = 1; number <= aCount; ++number) {
    this->StartInstance(number);
  }
  this->generationWatcher = std::thread([this] { this->WatchGenerations(); });
}

void
ScenarioFixture::StartInstance(size_t aNumber)
{
  InstanceProcess& instance = this->instances.at(aNumber - 1);
  base::Instant end = base::Now() + kReadyTimeout;
  while (instance.pid != 0 && !instance.exited && base::Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  std::string flag = "--settings=" + instance.settingsFile;
  pid_t pid = fork();
  if (pid == 0) {
    // Kills the instance if the test process exits.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(this->options.daemon.c_str(), this->options.daemon.c_str(), flag.c_str(), nullptr);
    _exit(127);
  }
  instance.pid = pid;
  instance.exited = false;
  instance.stopRequested = false;
}

std::optional<Json::Value>
ScenarioFixture::Status(size_t aNumber)
{
  net::Endpoint endpoint{ .address = kLoopback, .port = this->instances.at(aNumber - 1).port };
  net::Connection connection(endpoint, net::ConnectionOptions{ .keepAlive = false });
  base::Result<net::Response> answer =
    connection.Send(net::Request{ .path = "/v1/status" }, kStatusTimeout);
  return answer && answer->status == 200 ? document::ParseMessage(answer->body) : std::nullopt;
}

void
ScenarioFixture::WaitReady()
{
  base::Instant end = base::Now() + kReadyTimeout;
  for (size_t number = 1; number <= this->instances.size(); ++number) {
    while (this->instances[number - 1].exited == false) {
      std::optional<Json::Value> status = this->Status(number);
      bool ready = status && (*status)["ready"].asBool() &&
                   (*status)["members"].size() == this->instances.size();
      if (ready) {
        break;
      }
      if (base::Now() >= end) {
        throw StepFailed("instance " + std::to_string(number) +
                         " did not become ready within 30 s");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
}

uint64_t
ScenarioFixture::GenerationOf(size_t aNumber)
{
  std::optional<Json::Value> status = this->Status(aNumber);
  return status ? (*status)["generation"].asUInt64() : 0;
}

void
ScenarioFixture::WatchGenerations()
{
  std::vector<uint64_t> highest(this->instances.size(), 0);
  std::vector<pid_t> pids(this->instances.size(), 0);
  while (!this->stopping) {
    for (size_t index = 0; index < this->instances.size(); ++index) {
      pid_t pid = this->instances[index].pid;
      if (pid != pids[index]) {
        pids[index] = pid;
        highest[index] = 0;
      }
      if (std::optional<Json::Value> status = this->Status(index + 1)) {
        uint64_t generation = (*status)["generation"].asUInt64();
        this->generationDecreases += generation < highest[index] ? 1 : 0;
        highest[index] = std::max(highest[index], generation);
      }
    }
    std::this_thread::sleep_for(2 * kPollInterval);
  }
}

void
ScenarioFixture::SendSignal(size_t aNumber, int aSignal)
{
  kill(this->instances.at(aNumber - 1).pid, aSignal);
}

void
ScenarioFixture::Kill(size_t aNumber)
{
  InstanceProcess& instance = this->instances.at(aNumber - 1);
  kill(instance.pid, SIGKILL);
  waitpid(instance.pid, nullptr, 0);
  instance.exited = true;
}

void
ScenarioFixture::Pause(size_t aNumber, base::Duration aFor)
{
  this->SendSignal(aNumber, SIGSTOP);
  this->RunAfter(aFor, [this, aNumber] { this->SendSignal(aNumber, SIGCONT); });
}

void
ScenarioFixture::StopGracefully(size_t aNumber)
{
  InstanceProcess& instance = this->instances.at(aNumber - 1);
  instance.stopRequested = true;
  kill(instance.pid, SIGTERM);
  this->background.emplace_back([&instance, pid = instance.pid] {
    int status = 0;
    waitpid(pid, &status, 0);
    instance.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    instance.exited = true;
  });
}

void
ScenarioFixture::UpdatePlatformFaults(const std::function<void(fakes::PlatformFaults&)>& aChange)
{
  fakes::PlatformFaults faults = this->Platform().Faults();
  aChange(faults);
  this->Platform().SetFaults(faults);
}

void
ScenarioFixture::RunAfter(base::Duration aDelay, std::function<void()> aAction)
{
  this->background.emplace_back([aDelay, action = std::move(aAction)] {
    std::this_thread::sleep_for(aDelay);
    action();
  });
}

void
ScenarioFixture::WaitForBackground()
{
  for (std::thread& thread : this->background) {
    thread.join();
  }
  this->background.clear();
}

void
ScenarioFixture::Apply(const std::string& aFile, const std::string& aAuthor)
{
  operations::ApplyOptions apply;
  apply.author = aAuthor;
  apply.nonce = base::NewId(base::ThreadRandom());
  apply.nowMillis = base::WallClockMillis();
  apply.backoff = [] { std::this_thread::sleep_for(kPollInterval); };
  document::Problems problems;
  operations::AuditEntry winner;
  base::Result<operations::ApplyResult> applied =
    operations::ApplyConfiguration(this->Platform(),
                                   ReadFile(this->options.configurations + "/" + aFile),
                                   apply,
                                   problems,
                                   winner);
  bool conflict = !applied && applied.Error().code == operations::Errc::Conflict;
  if (!applied && !conflict) {
    throw StepFailed("cannot apply the configuration: " + applied.Error().code.message() + " " +
                     (problems.empty() ? "" : document::Describe(problems.front())));
  }
}

void
ScenarioFixture::StartLoad(const std::string& aStreams, base::Duration aFor, size_t aRetries)
{
  std::string error;
  load::LoadOptions loadOptions;
  loadOptions.streams = load::ParseStreams(aStreams, aFor, error);
  if (!error.empty()) {
    throw StepFailed(error);
  }
  for (const InstanceProcess& instance : this->instances) {
    loadOptions.targets.push_back(net::Endpoint{ .address = kLoopback, .port = instance.port });
  }
  loadOptions.seed = this->seed + this->loadCount;
  loadOptions.threads = kLoadThreads;
  loadOptions.keepBodies = true;
  loadOptions.maxRetries = aRetries;
  loadOptions.balancerLag = std::chrono::milliseconds(300);
  loadOptions.timeout = std::chrono::seconds(15);
  loadOptions.idPrefix = "load" + std::to_string(this->loadCount++);
  this->loads.emplace_back([this, loadOptions] {
    std::vector<load::Sample> collected = load::RunLoad(loadOptions, [](size_t, size_t) {});
    std::lock_guard<std::mutex> lock(this->samplesMutex);
    this->samples.insert(this->samples.end(), collected.begin(), collected.end());
  });
}

void
ScenarioFixture::SendCrashing(size_t aTimes, base::Duration aEvery)
{
  for (const InstanceProcess& instance : this->instances) {
    net::Endpoint endpoint{ .address = kLoopback, .port = instance.port };
    this->background.emplace_back([endpoint, aTimes, aEvery] {
      for (size_t time = 0; time < aTimes; ++time) {
        net::Connection connection(endpoint, net::ConnectionOptions{ .keepAlive = false });
        net::Request request{ .method = "POST",
                              .path = "/v1/search",
                              .body = R"({"class":"lookup","query":"crash-the-server now"})" };
        connection.Send(request, std::chrono::seconds(5));
        std::this_thread::sleep_for(aEvery);
      }
    });
  }
}

const std::vector<load::Sample>&
ScenarioFixture::Samples()
{
  for (std::thread& thread : this->loads) {
    thread.join();
  }
  this->loads.clear();
  return this->samples;
}

} // namespace sapphirewind::test
