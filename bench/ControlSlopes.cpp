/// @file Measures how the cost of the control plane per instance grows with the number of
/// instances. Simulates gossip in one process on a virtual clock, with the production membership
/// functions and codecs, and measures real exchanges over loopback.
#include <algorithm>
#include <cstdio>
#include <document/Document.h>
#include <fakes/Relay.h>
#include <gflags/gflags.h>
#include <iostream>
#include <net/Server.h>
#include <rpc/JsonRpc.h>
#include <sstream>
#include <sys/resource.h>
#include <tier/Gossip.h>
#include <tier/PlatformFollower.h>
#include <unistd.h>

DEFINE_string(sizes, "25,50,100,200,400,800", "Comma-separated numbers of instances.");
DEFINE_uint64(seed, 1, "The seed of the probe order.");
DEFINE_uint64(configuration_bytes, 10000, "The size of a configuration, in bytes.");
DEFINE_uint64(objects,
              60,
              "The number of followed objects, whose versions are exchanged when digests differ.");

namespace {

using namespace sapphirewind;

constexpr size_t kZones = 17;
/// The number of probes in a round after an instance received an update, as in tier::Gossip.
constexpr size_t kUpdateFanout = 3;

double
CpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) + static_cast<double>(aTime.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double
ResidentMegabytes()
{
  long pages = 0;
  long resident = 0;
  if (std::FILE* file = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(file, "%ld %ld", &pages, &resident) != 2) {
      resident = 0;
    }
    std::fclose(file);
  }
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// One simulated instance.
struct Node
{
  membership::View view;
  uint64_t generation = 1;
  bool hasUpdate = false;
  bool alive = true;
};

/// The results for one number of instances. Rates and bytes are per instance.
struct Measurements
{
  size_t instances = 0;
  double bytesPerSecond = 0.0;
  double bytesPerChange = 0.0;
  double messagesPerSecond = 0.0;
  double propagationSeconds = 0.0;
  double deathDetectionSeconds = 0.0;
  double viewKilobytes = 0.0;
  double cpuMicrosPerExchange = 0.0;
};

/// A cluster of simulated instances that gossip on a virtual clock.
class SimulatedCluster
{
public:
  SimulatedCluster(size_t aCount, uint64_t aSeed)
    : random(aSeed)
    , interval(tier::ProbeInterval(aCount))
    , nodes(aCount)
  {
    for (size_t index = 0; index < aCount; ++index) {
      this->nodes[index].view.self = MemberOf(index);
    }
    for (Node& node : this->nodes) {
      for (size_t index = 0; index < aCount; ++index) {
        membership::OnMessageFrom(node.view, MemberOf(index), this->now);
        // Marks the entry as sent often enough that it is no longer gossiped.
        auto entry = node.view.others.find(NameOf(index));
        if (entry != node.view.others.end()) {
          entry->second.timesSent = 1000;
        }
      }
    }
  }

  void RunRound()
  {
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      Node& node = this->nodes[index];
      if (!node.alive) {
        continue;
      }
      size_t probes = node.hasUpdate ? kUpdateFanout : 1;
      node.hasUpdate = false;
      for (size_t probe = 0; probe < probes; ++probe) {
        this->Probe(node);
      }
      membership::Expire(node.view, membership::Timing{}, this->now);
    }
    this->now += this->interval;
  }

  /// Publishes a new configuration to two instances per zone, which watch the platform. The other
  /// instances receive it by gossip.
  void PublishChange()
  {
    for (size_t watcher = 0; watcher < std::min(this->nodes.size(), 2 * kZones); ++watcher) {
      this->nodes[watcher].generation = 2;
      this->nodes[watcher].hasUpdate = true;
    }
  }

  void Kill(size_t aIndex) { this->nodes[aIndex].alive = false; }

  bool AllUpdated() const
  {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [](const Node& aNode) {
      return !aNode.alive || aNode.generation == 2;
    });
  }

  bool AllDetectedDead(const std::string& aName) const
  {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const Node& aNode) {
      auto entry = aNode.view.others.find(aName);
      return !aNode.alive || entry == aNode.view.others.end() ||
             entry->second.member.state == membership::MemberState::Dead;
    });
  }

  double Seconds() const
  {
    return std::chrono::duration<double>(this->now - base::Instant{}).count();
  }
  static std::string NameOf(size_t aIndex) { return "instance-" + std::to_string(aIndex); }

  uint64_t bytes = 0;
  uint64_t changeBytes = 0;
  uint64_t exchanges = 0;

private:
  static membership::Member MemberOf(size_t aIndex)
  {
    std::string zone = "zone-" + std::to_string(aIndex % kZones);
    return membership::Member{ .name = NameOf(aIndex),
                               .address = "10.0.0.1:7300",
                               .region = "region-" + std::to_string(aIndex % 6),
                               .zone = zone,
                               .incarnation = 1'790'000'000'000,
                               .state = membership::MemberState::Alive };
  }

  tier::GossipMessage Compose(Node& aNode, const Node& aReceiver)
  {
    return tier::GossipMessage{ .sender = aNode.view.self,
                                .updates =
                                  membership::TakeGossipUpdates(aNode.view,
                                                                aReceiver.view.self.name,
                                                                tier::kMaxUpdatesPerMessage),
                                .digest = aNode.generation,
                                .leaving = {},
                                .quarantined = {} };
  }

  /// Encodes and decodes a message with the production codec and applies it to the receiver.
  void Deliver(const tier::GossipMessage& aMessage, Node& aTo)
  {
    std::string text = document::Serialize(tier::ToJson(aMessage));
    this->bytes += text.size();
    std::optional<Json::Value> parsed = document::ParseMessage(text);
    std::optional<tier::GossipMessage> received = tier::GossipMessageFromJson(*parsed);
    membership::OnMessageFrom(aTo.view, received->sender, this->now);
    membership::MergeGossipUpdates(aTo.view, received->updates, this->now);
  }

  void Probe(Node& aFrom)
  {
    std::optional<membership::Member> target = membership::NextProbe(aFrom.view, this->random);
    if (!target) {
      return;
    }
    Node& to = this->nodes[std::stoul(target->name.substr(std::string("instance-").size()))];
    ++this->exchanges;
    if (!to.alive) {
      membership::OnProbeFailed(aFrom.view, target->name, this->now);
      return;
    }
    this->Deliver(this->Compose(aFrom, to), to);
    this->Deliver(this->Compose(to, aFrom), aFrom);
    if (aFrom.generation < to.generation) {
      aFrom.generation = to.generation;
      aFrom.hasUpdate = true;
      // The list of object versions at 30 bytes each, then the configuration itself.
      this->changeBytes += FLAGS_objects * 30 + FLAGS_configuration_bytes;
    }
  }

  base::Random random;
  base::Duration interval;
  base::Instant now{};
  std::vector<Node> nodes;
};

Measurements
Measure(size_t aCount)
{
  Measurements results;
  results.instances = aCount;
  double residentBefore = ResidentMegabytes();
  SimulatedCluster cluster(aCount, FLAGS_seed);
  results.viewKilobytes =
    (ResidentMegabytes() - residentBefore) * 1000.0 / static_cast<double>(aCount);
  constexpr int kSteadyRounds = 30;
  double steadyStart = cluster.Seconds();
  double cpuStart = CpuSeconds();
  for (int round = 0; round < kSteadyRounds; ++round) {
    cluster.RunRound();
  }
  double nodes = static_cast<double>(aCount);
  double steadySeconds = cluster.Seconds() - steadyStart;
  results.cpuMicrosPerExchange =
    (CpuSeconds() - cpuStart) * 1e6 / static_cast<double>(cluster.exchanges);
  results.bytesPerSecond = static_cast<double>(cluster.bytes) / steadySeconds / nodes;
  results.messagesPerSecond = 2.0 * static_cast<double>(cluster.exchanges) / steadySeconds / nodes;
  double changeStart = cluster.Seconds();
  cluster.PublishChange();
  while (!cluster.AllUpdated()) {
    cluster.RunRound();
  }
  results.propagationSeconds = cluster.Seconds() - changeStart;
  results.bytesPerChange = static_cast<double>(cluster.changeBytes) / nodes;
  double killStart = cluster.Seconds();
  cluster.Kill(aCount - 1);
  while (!cluster.AllDetectedDead(SimulatedCluster::NameOf(aCount - 1)) &&
         cluster.Seconds() < killStart + 120.0) {
    cluster.RunRound();
  }
  results.deathDetectionSeconds = cluster.Seconds() - killStart;
  return results;
}

/// Measures one gossip exchange over real HTTP: the bytes in addition to the JSON bodies, and the
/// CPU time of both sides.
void
MeasureHttpOverhead(double& aOverheadBytes, double& aCpuMicros)
{
  rpc::Dispatcher dispatcher;
  dispatcher.Register("gossip", [](const Json::Value& aIn) { return aIn; });
  net::Server server(net::ServerOptions{ .listen = { .address = "127.0.0.1", .port = 0 } });
  server.Route("POST", "/rpc", [&](const net::Request& aIn) {
    return net::Response{ .status = 200, .body = dispatcher.Handle(aIn.body) };
  });
  server.Start();
  fakes::Relay relay({ .address = "127.0.0.1", .port = 0 },
                     { .address = "127.0.0.1", .port = server.Port() });
  relay.Start();
  tier::GossipMessage message;
  message.sender.name = "instance-1";
  Json::Value body = tier::ToJson(message);
  auto json = static_cast<double>(2 * document::Serialize(body).size());
  tier::PeerClient peers;
  std::string relayAddress = "127.0.0.1:" + std::to_string(relay.Port());
  constexpr int kExchanges = 2000;
  for (int exchange = 0; exchange < kExchanges; ++exchange) {
    peers.Call(relayAddress, "gossip", body, {});
  }
  aOverheadBytes = static_cast<double>(relay.BytesRelayed()) / kExchanges - json;
  std::string serverAddress = "127.0.0.1:" + std::to_string(server.Port());
  peers.Call(serverAddress, "gossip", body, {});
  double cpuStart = CpuSeconds();
  for (int exchange = 0; exchange < kExchanges; ++exchange) {
    peers.Call(serverAddress, "gossip", body, {});
  }
  aCpuMicros = (CpuSeconds() - cpuStart) * 1e6 / kExchanges;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "measures the cost of the control plane per instance against the number of instances");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  double overheadBytes = 0.0;
  double cpuMicros = 0.0;
  MeasureHttpOverhead(overheadBytes, cpuMicros);
  std::printf("one exchange over HTTP: %.0f bytes in addition to the bodies, %.0f us of CPU time "
              "on both sides\n",
              overheadBytes,
              cpuMicros);
  std::printf("%9s %8s %12s %12s %13s %14s %12s %12s %14s\n",
              "instances",
              "probe s",
              "messages/s",
              "body B/s",
              "total B/s",
              "B/change",
              "update s",
              "detect s",
              "CPU us/exch.");
  std::istringstream sizes(FLAGS_sizes);
  for (std::string size; std::getline(sizes, size, ',');) {
    Measurements results = Measure(std::stoul(size));
    double totalBytesPerSecond =
      results.bytesPerSecond + results.messagesPerSecond / 2.0 * overheadBytes;
    std::printf("%9zu %8.2f %12.2f %12.0f %13.0f %14.0f %12.1f %12.1f %14.0f   view %.0f KB\n",
                results.instances,
                std::chrono::duration<double>(tier::ProbeInterval(results.instances)).count(),
                results.messagesPerSecond,
                results.bytesPerSecond,
                totalBytesPerSecond,
                results.bytesPerChange,
                results.propagationSeconds,
                results.deathDetectionSeconds,
                results.cpuMicrosPerExchange,
                results.viewKilobytes);
    std::fflush(stdout);
  }
  return 0;
}
