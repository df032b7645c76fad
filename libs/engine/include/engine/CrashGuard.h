/// @file Limits the servers that one request can crash ("query of death").
///
/// A request becomes suspect if it ends without a whole answer, in whichever way, and a server went
/// down while running it.
/// All instances are notified, as the caller may repeat the request at any of them. A suspect
/// request is sent to one server at a time, without retries or hedges; if that server goes down
/// too, the request is quarantined: it is rejected for a limited time. A server counts as lost only
/// when nothing listens at its address any more, so a lost answer alone makes no request suspect.
#pragma once

#include <engine/UpstreamServer.h>
#include <functional>
#include <quarantine/Quarantine.h>

namespace sapphirewind::engine {

/// Hashes the parts of a request that determine what a server runs: method, host, target, body.
quarantine::Fingerprint
FingerprintOf(const HttpRequest& aRequest);

class CrashGuard
{
public:
  struct Options
  {
    /// Broadcasts a quarantine update to the other instances.
    std::function<void(const std::string& aMessage)> notifyPeers;
  };

  /// A request that ended without a whole answer, and servers that were lost while they ran it.
  struct Loss
  {
    std::string requestId;
    quarantine::Fingerprint fingerprint = 0;
    /// Servers that closed their connection while the request was in flight there.
    std::vector<std::shared_ptr<UpstreamServer>> lostServers;
    /// The request was sent to one server at a time.
    bool ranIsolated = false;
  };

  explicit CrashGuard(Options aOptions);

  quarantine::QuarantineState QuarantineStateOf(quarantine::Fingerprint aFingerprint) const;

  void OnAnswered(quarantine::Fingerprint aFingerprint, const std::string& aRequestId);

  /// Probes the servers that closed their connection, and records the request as suspect or
  /// quarantined if one is down.
  void OnServersLost(const Loss& aLoss);

  /// Applies a quarantine update of another instance. Returns the response to it: what this
  /// instance knows more of that request, in the form of List, or an empty text. Nothing when it is
  /// malformed.
  std::optional<std::string> OnPeerMessage(const std::string& aMessage);

  /// What this instance knows, for one that starts; bounded.
  std::string List() const;

  /// Which requests of another instance's list are taken over.
  enum class Taken
  {
    All,
    /// A suspect request may have been answered here since, and would be suspect again.
    Quarantined
  };

  /// Takes over what another instance knows, as written by List. The number of requests in it;
  /// nothing when it is malformed.
  std::optional<size_t> OnPeerList(const std::string& aList, Taken aTaken);

  /// Number of suspect and quarantined requests.
  size_t Size() const { return this->requests.records.size(); }

  /// Removes expired records.
  void RunMaintenance(base::Instant aNow);

private:
  void Apply(const quarantine::KnownRequest& aKnown);
  void OnServerDown(const Loss& aLoss, const directory::ServerStart& aServer);

  Options options;
  quarantine::QuarantineTable requests;
};

} // namespace sapphirewind::engine
