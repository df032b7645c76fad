/// Measures what the control part costs a node, against the number of instances: the membership's
/// pure functions with the real codecs, in one process on a virtual clock, and real exchanges over
/// loopback.
#include <algorithm>
#include <cstdio>
#include <document/Document.h>
#include <fakes/Relay.h>
#include <gflags/gflags.h>
#include <iostream>
#include <net/Server.h>
#include <rpc/Codec.h>
#include <sstream>
#include <sys/resource.h>
#include <tier/Gossip.h>
#include <tier/PlatformFollower.h>
#include <unistd.h>

DEFINE_string(sizes, "25,50,100,200,400,800", "Numbers of instances.");
DEFINE_uint64(seed, 1, "The seed.");
DEFINE_uint64(configuration_bytes, 10000, "The size of a configuration.");
DEFINE_uint64(objects, 60, "Followed objects, whose versions are exchanged when digests differ.");

namespace {

using namespace sapphirewind;

constexpr size_t kZones = 17;
constexpr size_t kNewsFanout = 3;

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

/// One instance on the virtual clock.
struct Node
{
  membership::View view;
  uint64_t generation = 1;
  bool news = false;
  bool alive = true;
};

struct Figures
{
  size_t instances = 0;
  double bytesPerSecond = 0.0;
  double bytesPerChange = 0.0;
  double messagesPerSecond = 0.0;
  double secondsToLast = 0.0;
  double secondsToNoticeDeath = 0.0;
  double viewKilobytes = 0.0;
  double exchangeMicros = 0.0;
};

class Fleet
{
public:
  Fleet(size_t aCount, uint64_t aSeed)
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
        // Known for long: nothing to pass on.
        auto known = node.view.others.find(NameOf(index));
        if (known != node.view.others.end()) {
          known->second.timesSent = 1000;
        }
      }
    }
  }

  void Round()
  {
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      Node& node = this->nodes[index];
      if (!node.alive) {
        continue;
      }
      size_t probes = node.news ? kNewsFanout : 1;
      node.news = false;
      for (size_t probe = 0; probe < probes; ++probe) {
        this->Probe(node);
      }
      membership::Expire(node.view, membership::Timing{}, this->now);
    }
    this->now += this->interval;
  }

  void Change()
  {
    for (size_t watcher = 0; watcher < std::min(this->nodes.size(), 2 * kZones); ++watcher) {
      this->nodes[watcher].generation = 2;
      this->nodes[watcher].news = true;
    }
  }

  void Kill(size_t aIndex) { this->nodes[aIndex].alive = false; }

  bool AllChanged() const
  {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [](const Node& aNode) {
      return !aNode.alive || aNode.generation == 2;
    });
  }

  bool AllKnowDead(const std::string& aName) const
  {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const Node& aNode) {
      auto known = aNode.view.others.find(aName);
      return !aNode.alive || known == aNode.view.others.end() ||
             known->second.member.state == membership::MemberState::Dead;
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
                                .rumours = membership::TakeGossipUpdates(
                                  aNode.view, aReceiver.view.self.name, tier::kRumoursPerMessage),
                                .digest = aNode.generation,
                                .leaving = {},
                                .condemned = {} };
  }

  /// Sends a message through the real codec and takes it in.
  void Deliver(const tier::GossipMessage& aMessage, Node& aTo)
  {
    std::string text = document::Write(tier::ToJson(aMessage));
    this->bytes += text.size();
    std::optional<Json::Value> parsed = document::ParseMessage(text);
    std::optional<tier::GossipMessage> heard = tier::GossipMessageFromJson(*parsed);
    membership::OnMessageFrom(aTo.view, heard->sender, this->now);
    membership::MergeGossipUpdates(aTo.view, heard->rumours, this->now);
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
      aFrom.news = true;
      // The list of versions, then the object.
      this->changeBytes += FLAGS_objects * 30 + FLAGS_configuration_bytes;
    }
  }

  base::Random random;
  base::Duration interval;
  base::Instant now{};
  std::vector<Node> nodes;
};

Figures
Measure(size_t aCount)
{
  Figures figures;
  figures.instances = aCount;
  double before = ResidentMegabytes();
  Fleet fleet(aCount, FLAGS_seed);
  figures.viewKilobytes = (ResidentMegabytes() - before) * 1000.0 / static_cast<double>(aCount);
  constexpr int kSteadyRounds = 30;
  double start = fleet.Seconds();
  double cpu = CpuSeconds();
  for (int round = 0; round < kSteadyRounds; ++round) {
    fleet.Round();
  }
  double nodes = static_cast<double>(aCount);
  double steady = fleet.Seconds() - start;
  figures.exchangeMicros = (CpuSeconds() - cpu) * 1e6 / static_cast<double>(fleet.exchanges);
  figures.bytesPerSecond = static_cast<double>(fleet.bytes) / steady / nodes;
  figures.messagesPerSecond = 2.0 * static_cast<double>(fleet.exchanges) / steady / nodes;
  double changedAt = fleet.Seconds();
  fleet.Change();
  while (!fleet.AllChanged()) {
    fleet.Round();
  }
  figures.secondsToLast = fleet.Seconds() - changedAt;
  figures.bytesPerChange = static_cast<double>(fleet.changeBytes) / nodes;
  double killedAt = fleet.Seconds();
  fleet.Kill(aCount - 1);
  while (!fleet.AllKnowDead(Fleet::NameOf(aCount - 1)) && fleet.Seconds() < killedAt + 120.0) {
    fleet.Round();
  }
  figures.secondsToNoticeDeath = fleet.Seconds() - killedAt;
  return figures;
}

/// One gossip exchange over real HTTP: bytes beyond the JSON bodies, and processor time of both
/// sides.
void
MeasureWire(double& aOverheadBytes, double& aMicros)
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
  auto json = static_cast<double>(2 * document::Write(body).size());
  tier::PeerClient peers;
  std::string through = "127.0.0.1:" + std::to_string(relay.Port());
  constexpr int kExchanges = 2000;
  for (int exchange = 0; exchange < kExchanges; ++exchange) {
    peers.Call(through, "gossip", body, {});
  }
  aOverheadBytes = static_cast<double>(relay.BytesRelayed()) / kExchanges - json;
  std::string direct = "127.0.0.1:" + std::to_string(server.Port());
  peers.Call(direct, "gossip", body, {});
  double cpu = CpuSeconds();
  for (int exchange = 0; exchange < kExchanges; ++exchange) {
    peers.Call(direct, "gossip", body, {});
  }
  aMicros = (CpuSeconds() - cpu) * 1e6 / kExchanges;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "measures the control part's cost a node against the number of instances");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  double overheadBytes = 0.0;
  double wireMicros = 0.0;
  MeasureWire(overheadBytes, wireMicros);
  std::printf(
    "one exchange over HTTP: %.0f bytes beyond the bodies, %.0f us of processor time, both sides\n",
    overheadBytes,
    wireMicros);
  std::printf("%9s %8s %12s %12s %13s %14s %12s %12s %14s\n",
              "instances",
              "probe s",
              "messages/s",
              "body B/s",
              "total B/s",
              "B a change",
              "last s",
              "death s",
              "exchange us");
  std::istringstream sizes(FLAGS_sizes);
  for (std::string size; std::getline(sizes, size, ',');) {
    Figures figures = Measure(std::stoul(size));
    double perSecond = figures.bytesPerSecond + figures.messagesPerSecond / 2.0 * overheadBytes;
    std::printf("%9zu %8.2f %12.2f %12.0f %13.0f %14.0f %12.1f %12.1f %14.0f   view %.0f KB\n",
                figures.instances,
                std::chrono::duration<double>(tier::ProbeInterval(figures.instances)).count(),
                figures.messagesPerSecond,
                figures.bytesPerSecond,
                perSecond,
                figures.bytesPerChange,
                figures.secondsToLast,
                figures.secondsToNoticeDeath,
                figures.exchangeMicros,
                figures.viewKilobytes);
    std::fflush(stdout);
  }
  return 0;
}
