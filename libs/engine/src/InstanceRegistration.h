/// @file Registers this instance in the store, renews its heartbeat, and lists the other instances.
#pragma once

#include <directory/InstanceTracker.h>
#include <engine/ServiceCall.h>
#include <engine/StoreConnection.h>

namespace sapphirewind::engine {

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
    base::Random& random;
    /// Called after each list of the instances.
    std::function<void(const directory::InstanceTracker&)> onInstancesListed;
  };

  explicit InstanceRegistration(Options aOptions);

  void Start();
  void Stop();

private:
  void SendHeartbeat();
  void Create();
  void List();
  void OnList(const HttpResponse& aResponse);
  void RemoveExpired();
  void ScheduleHeartbeat(base::Duration aDelay);
  void Fail(const char* aCallName, const StoreAnswer& aAnswer);
  void Make(StoreConnection::Call aCall, void (InstanceRegistration::*aNext)(StoreAnswer&&));
  void OnHeartbeatAnswered(StoreAnswer&& aAnswer);
  void OnCreated(StoreAnswer&& aAnswer);
  void OnListed(StoreAnswer&& aAnswer);
  void OnRemoved(StoreAnswer&& aAnswer);

  Options options;
  std::shared_ptr<StoreConnection> connection;
  Timer timer;
  directory::InstanceTracker tracker;
  std::vector<std::string> expired;
  uint64_t heartbeat = 0;
};

} // namespace sapphirewind::engine
