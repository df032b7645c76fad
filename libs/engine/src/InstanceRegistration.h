/// @file Registers this instance in the store, renews its heartbeat, and lists the other instances.
#pragma once

#include <directory/InstanceTracker.h>
#include <engine/OneShotTimer.h>
#include <engine/ServiceCall.h>
#include <engine/StoreConnection.h>

namespace sapphirewind::engine {

class EraObserver;

class InstanceRegistration : public std::enable_shared_from_this<InstanceRegistration>
{
public:
  struct Options
  {
    Loop& loop;
    const StoreCodec& codec;
    StoreConnection::Options connection;
    /// This instance's entry.
    directory::InstanceEntry entry;
    /// All instances start now: none has an entry yet, and an early list is incomplete.
    bool firstStart = false;
    base::Random& random;
    EraObserver& eras;
    /// Called after each list of the instances.
    std::function<void(const directory::InstanceTracker&)> onInstancesListed;
  };

  explicit InstanceRegistration(Options aOptions);

  void Start();
  void Stop();

  /// Writes this instance's entry again, spread over the instances: the store has returned from an
  /// older copy, which may lack it.
  void OnNewEra();

private:
  void SendHeartbeat();
  void Create();
  /// Reads the first page, or the one after a name.
  void List(const std::string& aAfter = "");
  void OnPage(const HttpResponse& aResponse);
  void OnListComplete();
  void RemoveExpired();
  void ScheduleNext();
  void Schedule(base::Duration aDelay);
  void RunNext();
  base::Duration Jittered(base::Duration aInterval);
  void Fail(const char* aCallName, const StoreAnswer& aAnswer);
  void Make(StoreConnection::Call aCall, void (InstanceRegistration::*aNext)(StoreAnswer&&));
  void OnAnswer(StoreAnswer&& aAnswer, void (InstanceRegistration::*aNext)(StoreAnswer&&));
  void OnHeartbeatAnswered(StoreAnswer&& aAnswer);
  void OnCreated(StoreAnswer&& aAnswer);
  void OnListed(StoreAnswer&& aAnswer);
  void OnRemoved(StoreAnswer&& aAnswer);

  Options options;
  std::shared_ptr<StoreConnection> connection;
  OneShotTimer timer;
  directory::InstanceTracker tracker;
  std::vector<std::string> expired;
  base::Instant startedAt{};
  /// When the latest heartbeat was written.
  base::Instant heartbeatAt{};
  size_t lists = 0;
  uint64_t heartbeat = 0;
};

} // namespace sapphirewind::engine
