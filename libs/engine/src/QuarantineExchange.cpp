#include "QuarantineExchange.h"

#include <algorithm>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// Timeout of a message to another instance: two round trips between regions, plus scheduling.
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(500);

} // namespace

std::vector<directory::InstanceEntry>
ChoosePeersToAsk(const std::vector<directory::InstanceEntry>& aPeers,
                 const std::set<std::string>& aAsked,
                 base::Random& aRandom)
{
  std::vector<directory::InstanceEntry> chosen;
  std::copy_if(aPeers.begin(), aPeers.end(), std::back_inserter(chosen), [&](const auto& aPeer) {
    return aAsked.count(aPeer.name) == 0;
  });
  std::shuffle(chosen.begin(), chosen.end(), aRandom);
  chosen.resize(std::min(chosen.size(), kPeersAskedTogether));
  return chosen;
}

QuarantineExchange::QuarantineExchange(Options aOptions)
  : options(std::move(aOptions))
  , learned(this->options.firstStart)
  , settleTimer(this->options.loop)
{
}

QuarantineExchange::~QuarantineExchange()
{
  *this->alive = false;
}

void
QuarantineExchange::SetPeers(std::vector<directory::InstanceEntry> aPeers)
{
  this->peers = std::move(aPeers);
  if (this->learned) {
    this->AskOneAgain();
  } else if (!std::exchange(this->hasPeers, true)) {
    this->Ask();
  }
}

void
QuarantineExchange::Ask()
{
  std::vector<directory::InstanceEntry> chosen =
    ChoosePeersToAsk(this->peers, this->asked, this->options.random);
  if (chosen.empty() || this->rounds >= kMaxAskRounds) {
    this->StopLearning("no instance that runs answered");
    return;
  }
  ++this->rounds;
  for (const directory::InstanceEntry& peer : chosen) {
    this->asked.insert(peer.name);
    this->AskPeer(peer);
  }
}

void
QuarantineExchange::AskOneAgain()
{
  if (!this->peers.empty()) {
    this->AskPeer(this->peers[base::UniformIndex(this->options.random, this->peers.size())]);
  }
}

void
QuarantineExchange::AskPeer(const directory::InstanceEntry& aPeer)
{
  ++this->unanswered;
  this->Call(aPeer,
             { .target = kQuarantineTarget },
             [this, name = aPeer.name](const auto& aAnswer) { this->OnAsked(name, aAnswer); });
}

void
QuarantineExchange::OnAsked(const std::string& aPeer, const StoreAnswer& aAnswer)
{
  --this->unanswered;
  bool isList = aAnswer.response && aAnswer.response->result() == http::status::ok;
  CrashGuard::Taken taken = this->learned ? CrashGuard::Taken::Quarantined : CrashGuard::Taken::All;
  std::optional<size_t> known =
    isList ? this->options.crashGuard.OnPeerList(aAnswer.response->body(), taken) : std::nullopt;
  if (!known) {
    const char* cause = aAnswer.response ? "declined" : aAnswer.cause;
    telemetry::LogRoutine(telemetry::Event::PeerUnreachable,
                          { { "peer", aPeer }, { "why", isList ? "malformed" : cause } });
  }
  if (this->learned) {
    return;
  }
  if (known) {
    telemetry::Log(
      telemetry::Event::QuarantineLearned,
      { { "peer", aPeer }, { "requests", *known }, { "took_ms", base::ToMillis(aAnswer.took) } });
  }
  bool isFirstList = known && !std::exchange(this->hasList, true);
  if (this->unanswered == 0) {
    this->OnRoundOver();
  } else if (isFirstList) {
    this->settleTimer.Arm(kSettleTime, [this] { this->OnRoundOver(); });
  }
}

void
QuarantineExchange::OnRoundOver()
{
  this->settleTimer.Disarm();
  if (this->hasList) {
    this->StopLearning("");
  } else {
    this->Ask();
  }
}

void
QuarantineExchange::StopLearning(const char* aCause)
{
  if (std::exchange(this->learned, true)) {
    return;
  }
  if (*aCause != '\0') {
    telemetry::Log(telemetry::Event::QuarantineNotLearned,
                   { { "asked", this->asked.size() }, { "why", aCause } });
  }
  this->options.onLearned();
}

std::optional<std::string>
QuarantineExchange::List() const
{
  return this->learned ? std::optional(this->options.crashGuard.List()) : std::nullopt;
}

std::optional<std::string>
QuarantineExchange::OnUpdate(const std::string& aMessage)
{
  return this->options.crashGuard.OnPeerMessage(aMessage);
}

void
QuarantineExchange::NotifyPeers(const std::string& aMessage)
{
  for (const directory::InstanceEntry& peer : this->peers) {
    this->Call(
      peer,
      { .method = http::verb::post, .target = kQuarantineTarget, .body = aMessage },
      [this, name = peer.name](const StoreAnswer& aAnswer) { this->OnNotified(name, aAnswer); });
  }
}

void
QuarantineExchange::OnNotified(const std::string& aPeer, const StoreAnswer& aAnswer)
{
  bool accepted = aAnswer.response && aAnswer.response->result() == http::status::no_content;
  bool knowsMore =
    aAnswer.response && aAnswer.response->result() == http::status::ok &&
    this->options.crashGuard.OnPeerList(aAnswer.response->body(), CrashGuard::Taken::Quarantined);
  if (!accepted && !knowsMore) {
    telemetry::Log(telemetry::Event::PeerUnreachable,
                   { { "peer", aPeer }, { "why", aAnswer.response ? "rejected" : aAnswer.cause } });
  }
}

void
QuarantineExchange::Call(const directory::InstanceEntry& aPeer,
                         StoreConnection::Call aCall,
                         std::function<void(const StoreAnswer&)> aOnAnswer)
{
  std::optional<Tcp::endpoint> endpoint = ParseEndpoint(aPeer.address);
  if (!endpoint) {
    // Reported like a failed call, later.
    asio::post(this->options.loop, [alive = this->alive, onAnswer = std::move(aOnAnswer)] {
      if (*alive) {
        onAnswer(StoreAnswer{ .cause = "invalid address" });
      }
    });
    return;
  }
  auto connection =
    std::make_shared<StoreConnection>(StoreConnection::Options{ .loop = this->options.loop,
                                                                .endpoint = *endpoint,
                                                                .host = aPeer.address,
                                                                .metrics = this->options.metrics,
                                                                .toInstance = true });
  aCall.timeout = kPeerTimeout;
  connection->Make(
    std::move(aCall),
    [alive = this->alive, connection, onAnswer = std::move(aOnAnswer)](StoreAnswer&& aAnswer) {
      if (*alive) {
        onAnswer(aAnswer);
      }
      connection->Stop();
    });
}

} // namespace sapphirewind::engine
