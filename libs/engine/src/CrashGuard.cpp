#include <engine/CrashGuard.h>

#include <algorithm>
#include <charconv>
#include <document/Document.h>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// Servers that are probed per request: one that is down is enough to make the request suspect, and
/// two bound the connections that a lost request costs.
constexpr size_t kMaxProbes = 2;

constexpr const char* kSuspectName = "suspect";
constexpr const char* kQuarantinedName = "condemned";

/// Limit on the requests in one list, which bounds the message to some 150 KB. Those that are left
/// out are reported in responses to updates.
constexpr size_t kMaxListed = 1000;
constexpr const char* kRequests = "requests";

std::optional<quarantine::Fingerprint>
ParseFingerprint(const Json::Value& aValue)
{
  if (!aValue.isString()) {
    return std::nullopt;
  }
  std::string text = aValue.asString();
  quarantine::Fingerprint number = 0;
  constexpr int kHexadecimal = 16;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, kHexadecimal);
  bool isValid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return isValid ? std::optional(number) : std::nullopt;
}

Json::Value
WriteKnown(const quarantine::KnownRequest& aKnown)
{
  bool isQuarantined = aKnown.state == quarantine::QuarantineState::Quarantined;
  Json::Value entry;
  entry["fingerprint"] = base::ToHex(aKnown.fingerprint);
  entry["standing"] = isQuarantined ? kQuarantinedName : kSuspectName;
  entry["server"] = aKnown.firstLostServer.id;
  entry["started_at_ms"] = Json::Int64(aKnown.firstLostServer.startedAtMs);
  entry["remaining_ms"] = Json::Int64(base::ToMillis(aKnown.remaining));
  return entry;
}

/// Reads an entry; nothing if it is malformed. An instance of an earlier version names neither the
/// server's start nor the remaining time, which is then the whole one.
std::optional<quarantine::KnownRequest>
ReadKnown(const Json::Value& aEntry)
{
  if (!aEntry.isObject()) {
    return std::nullopt;
  }
  std::optional<quarantine::Fingerprint> fingerprint = ParseFingerprint(aEntry["fingerprint"]);
  const Json::Value& state = aEntry["standing"];
  const Json::Value& id = aEntry["server"];
  const Json::Value& startedAt = aEntry["started_at_ms"];
  const Json::Value& remaining = aEntry["remaining_ms"];
  bool numbersAreValid =
    (startedAt.isNull() || startedAt.isInt64()) && (remaining.isNull() || remaining.isUInt());
  if (!fingerprint || !state.isString() || !id.isString() || !numbersAreValid) {
    return std::nullopt;
  }
  bool isQuarantined = state.asString() == kQuarantinedName;
  base::Duration whole = isQuarantined ? quarantine::kQuarantineTime : quarantine::kSuspicionTime;
  return quarantine::KnownRequest{
    .fingerprint = *fingerprint,
    .state = isQuarantined ? quarantine::QuarantineState::Quarantined
                           : quarantine::QuarantineState::Suspect,
    .firstLostServer = { .id = id.asString(), .startedAtMs = startedAt.asInt64() },
    .remaining = remaining.isNull()
                   ? whole
                   : std::min<base::Duration>(whole, std::chrono::milliseconds(remaining.asUInt()))
  };
}

std::string
WriteList(const std::vector<quarantine::KnownRequest>& aKnown)
{
  Json::Value list;
  list[kRequests] = Json::Value(Json::arrayValue);
  for (const quarantine::KnownRequest& request : aKnown) {
    list[kRequests].append(WriteKnown(request));
  }
  return document::Serialize(list);
}

telemetry::Event
EventOf(quarantine::QuarantineState aState)
{
  return aState == quarantine::QuarantineState::Quarantined ? telemetry::Event::RequestCondemned
                                                            : telemetry::Event::RequestSuspect;
}

void
LogState(telemetry::Event aEvent,
         const std::string& aRequestId,
         quarantine::Fingerprint aFingerprint,
         const directory::ServerStart& aServer)
{
  telemetry::Log(aEvent,
                 { { "request", aRequestId },
                   { "fingerprint", base::ToHex(aFingerprint) },
                   { "server", aServer.id },
                   { "started_at_ms", aServer.startedAtMs } });
}

} // namespace

quarantine::Fingerprint
FingerprintOf(const HttpRequest& aRequest)
{
  auto method = aRequest.method_string();
  auto host = aRequest[http::field::host];
  uint64_t hash = base::Hash64({ method.data(), method.size() });
  hash = base::CombineHash(hash, { host.data(), host.size() });
  hash = base::CombineHash(hash, { aRequest.target().data(), aRequest.target().size() });
  return base::CombineHash(hash, aRequest.body());
}

CrashGuard::CrashGuard(Options aOptions)
  : options(std::move(aOptions))
{
}

quarantine::QuarantineState
CrashGuard::QuarantineStateOf(quarantine::Fingerprint aFingerprint) const
{
  return quarantine::StateOf(this->requests, aFingerprint, base::Now());
}

void
CrashGuard::OnAnswered(quarantine::Fingerprint aFingerprint, const std::string& aRequestId)
{
  if (this->requests.records.count(aFingerprint) == 0) {
    return;
  }
  quarantine::OnAnswered(this->requests, aFingerprint);
  LogState(telemetry::Event::RequestCleared, aRequestId, aFingerprint, {});
}

void
CrashGuard::OnServersLost(const Loss& aLoss)
{
  size_t probes = std::min(kMaxProbes, aLoss.lostServers.size());
  for (size_t index = 0; index < probes; ++index) {
    const std::shared_ptr<UpstreamServer>& server = aLoss.lostServers[index];
    server->Probe(
      [this, aLoss, start = directory::StartOf(server->Description())](bool aConnectionRefused) {
        if (aConnectionRefused) {
          this->OnServerDown(aLoss, start);
        }
      });
  }
}

void
CrashGuard::OnServerDown(const Loss& aLoss, const directory::ServerStart& aServer)
{
  quarantine::Fingerprint fingerprint = aLoss.fingerprint;
  quarantine::QuarantineState oldState = this->QuarantineStateOf(fingerprint);
  quarantine::QuarantineState state =
    quarantine::OnServerLost(this->requests, fingerprint, aServer, aLoss.ranIsolated, base::Now());
  telemetry::Log(telemetry::Event::ServerLost,
                 { { "request", aLoss.requestId },
                   { "fingerprint", base::ToHex(fingerprint) },
                   { "server", aServer.id },
                   { "started_at_ms", aServer.startedAtMs },
                   { "isolated", aLoss.ranIsolated },
                   { "changed", state != oldState } });
  if (state == oldState) {
    return;
  }
  LogState(EventOf(state), aLoss.requestId, fingerprint, aServer);
  bool isQuarantined = state == quarantine::QuarantineState::Quarantined;
  quarantine::KnownRequest known{ .fingerprint = fingerprint,
                                  .state = state,
                                  .firstLostServer = aServer,
                                  .remaining = isQuarantined ? quarantine::kQuarantineTime
                                                             : quarantine::kSuspicionTime };
  this->options.notifyPeers(document::Serialize(WriteKnown(known)));
}

std::optional<std::string>
CrashGuard::OnPeerMessage(const std::string& aMessage)
{
  std::optional<Json::Value> message = document::ParseMessage(aMessage);
  std::optional<quarantine::KnownRequest> told = message ? ReadKnown(*message) : std::nullopt;
  if (!told) {
    return std::nullopt;
  }
  this->Apply(*told);
  std::optional<quarantine::KnownRequest> known =
    quarantine::FindKnown(this->requests, told->fingerprint, base::Now());
  bool knowsMore = known && known->state != told->state;
  return knowsMore ? WriteList({ *known }) : "";
}

std::string
CrashGuard::List() const
{
  return WriteList(quarantine::ListKnown(this->requests, base::Now(), kMaxListed));
}

std::optional<size_t>
CrashGuard::OnPeerList(const std::string& aList, Taken aTaken)
{
  std::optional<Json::Value> list = document::ParseMessage(aList);
  if (!list || !list->isObject() || !(*list)[kRequests].isArray()) {
    return std::nullopt;
  }
  std::vector<quarantine::KnownRequest> known;
  for (const Json::Value& entry : (*list)[kRequests]) {
    std::optional<quarantine::KnownRequest> request = ReadKnown(entry);
    if (!request || known.size() >= kMaxListed) {
      return std::nullopt;
    }
    known.push_back(std::move(*request));
  }
  for (const quarantine::KnownRequest& request : known) {
    bool isQuarantined = request.state == quarantine::QuarantineState::Quarantined;
    if (isQuarantined || aTaken == Taken::All) {
      this->Apply(request);
    }
  }
  return known.size();
}

void
CrashGuard::Apply(const quarantine::KnownRequest& aKnown)
{
  quarantine::QuarantineState before = this->QuarantineStateOf(aKnown.fingerprint);
  quarantine::OnPeerKnown(this->requests, aKnown, base::Now());
  quarantine::QuarantineState state = this->QuarantineStateOf(aKnown.fingerprint);
  if (state != before) {
    LogState(EventOf(state), "", aKnown.fingerprint, aKnown.firstLostServer);
  }
}

void
CrashGuard::RunMaintenance(base::Instant aNow)
{
  quarantine::RemoveExpired(this->requests, aNow);
}

} // namespace sapphirewind::engine
