/// @file Keeps a request that crashes servers from reaching ever more of them.
///
/// A request that ends without an answer after servers were lost under it is suspect, here and at
/// the other instances, as its caller may repeat it anywhere. A suspect request is sent to one
/// server at a time, without second sends; if that server is lost too, the request is refused for
/// a while. A server counts as lost only when nothing listens at its address any more: answers that
/// are merely lost accuse nobody.
#pragma once

#include <engine/UpstreamServer.h>
#include <functional>
#include <quarantine/Quarantine.h>

namespace sapphirewind::engine {

/// Identifies a request by what a server would run.
quarantine::Fingerprint
FingerprintOf(const HttpRequest& aRequest);

class CrashGuard
{
public:
  struct Options
  {
    /// Passes a message on to the other instances.
    std::function<void(const std::string& aMessage)> notifyPeers;
  };

  /// A request that ended without an answer.
  struct Unanswered
  {
    std::string requestId;
    quarantine::Fingerprint fingerprint = 0;
    /// Servers that broke their connection off while they had the request.
    std::vector<std::shared_ptr<UpstreamServer>> lostServers;
    /// It was at one server at a time.
    bool ranAlone = false;
  };

  explicit CrashGuard(Options aOptions);

  quarantine::Standing QuarantineStateOf(quarantine::Fingerprint aFingerprint) const;

  void OnAnswered(quarantine::Fingerprint aFingerprint, const std::string& aRequestId);

  /// Asks whether the servers are still there and remembers the request if one is not.
  void OnUnanswered(const Unanswered& aRequest);

  /// Takes in what another instance tells. False when it is malformed.
  bool OnPeerMessage(const std::string& aMessage);

  /// Requests that are suspect or refused.
  size_t Size() const { return this->requests.records.size(); }

  /// Forgets what is over.
  void RunMaintenance(base::Instant aNow);

private:
  void OnServerLost(const Unanswered& aRequest, const std::string& aServer);
  void PublishState(quarantine::Fingerprint aFingerprint,
                    quarantine::Standing aState,
                    const std::string& aServer) const;

  Options options;
  quarantine::Register requests;
};

} // namespace sapphirewind::engine
