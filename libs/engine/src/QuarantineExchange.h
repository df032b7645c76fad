/// @file Exchanges what is known of requests that crash servers with the other instances.
///
/// Each change is sent to all of them at once. An instance that starts knows nothing, so it asks a
/// few of those that run before it serves requests. An instance that is starting itself responds
/// with 503, so that its empty list is not taken for an answer. After that it asks one other each
/// time that the instances are listed: a change does not reach an instance that is cut off, or that
/// the others have not listed yet. Only what is quarantined is taken over then.
#pragma once

#include <directory/InstanceTracker.h>
#include <engine/CrashGuard.h>
#include <engine/OneShotTimer.h>
#include <engine/StoreConnection.h>
#include <set>

namespace sapphirewind::engine {

/// HTTP path for quarantine updates between instances, and for what an instance knows.
constexpr const char* kQuarantineTarget = "/crash-news";

/// Instances that are asked at once, and how many times others are asked if none of them answers
/// usably. The product bounds the messages of a start, however many instances there are.
constexpr size_t kPeersAskedTogether = 3;
constexpr size_t kMaxAskRounds = 3;

/// Chooses the instances that an instance asks next, of those that it has not asked yet.
std::vector<directory::InstanceEntry>
ChoosePeersToAsk(const std::vector<directory::InstanceEntry>& aPeers,
                 const std::set<std::string>& aAsked,
                 base::Random& aRandom);

/// How long the others that were asked together are awaited after the first list: two round trips
/// between regions. Any of them may have missed a change.
constexpr base::Duration kSettleTime = std::chrono::milliseconds(150);

class QuarantineExchange
{
public:
  struct Options
  {
    Loop& loop;
    CrashGuard& crashGuard;
    Metrics& metrics;
    base::Random& random;
    /// The system starts for the first time, so that no instance knows anything.
    bool firstStart = false;
    /// Called when this instance has learned what others know, or has stopped asking.
    std::function<void()> onLearned;
  };

  explicit QuarantineExchange(Options aOptions);
  ~QuarantineExchange();

  /// Sets the other live instances, each time that they are listed. Starts to ask with the first
  /// call.
  void SetPeers(std::vector<directory::InstanceEntry> aPeers);

  /// Sends a quarantine update to all other live instances.
  void NotifyPeers(const std::string& aMessage);

  /// Applies an update of another instance. Returns the response; nothing if it is malformed.
  std::optional<std::string> OnUpdate(const std::string& aMessage);

  /// What this instance knows; nothing while it is learning itself.
  std::optional<std::string> List() const;

  /// Ends the learning, as nothing else keeps requests from being served. aCause is for the log.
  void StopLearning(const char* aCause);

  bool HasLearned() const { return this->learned; }

private:
  void Ask();
  void AskOneAgain();
  void AskPeer(const directory::InstanceEntry& aPeer);
  void OnAsked(const std::string& aPeer, const StoreAnswer& aAnswer);
  /// Ends the learning, or asks others, once all that were asked together have answered.
  void OnRoundOver();
  void OnNotified(const std::string& aPeer, const StoreAnswer& aAnswer);
  /// Makes a call on a connection of its own. An invalid address is reported as a failed call.
  void Call(const directory::InstanceEntry& aPeer,
            StoreConnection::Call aCall,
            std::function<void(const StoreAnswer&)> aOnAnswer);

  Options options;
  bool learned;
  bool hasPeers = false;
  std::vector<directory::InstanceEntry> peers;
  std::set<std::string> asked;
  size_t rounds = 0;
  /// Of the current round.
  size_t unanswered = 0;
  bool hasList = false;
  OneShotTimer settleTimer;
  /// Keeps late answers from an exchange that is gone.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace sapphirewind::engine
