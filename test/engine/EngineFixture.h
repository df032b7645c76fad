/// @file One instance between stand-ins of the store and of servers, and callers that speak to it.
#pragma once

#include "Caller.h"

#include <atomic>
#include <engine/Instance.h>
#include <fakes/ObjectStore.h>
#include <fakes/SearchServer.h>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace sapphirewind::test {

/// An instance on a thread of its own.
class RunningInstance
{
public:
  explicit RunningInstance(const engine::Settings& aSettings,
                           std::function<std::optional<engine::Settings>()> aReadChanged = {});
  ~RunningInstance();

  engine::Instance& Get() { return this->instance; }
  bool IsRunning() const { return this->running; }
  bool IsReady();

private:
  engine::Instance instance;
  std::thread thread;
  std::atomic<bool> running{ true };
};

/// The store, ten shards s0 to s9 of two servers each and a plain service "p" of two servers, and
/// an instance that follows them.
class EngineFixture
{
public:
  EngineFixture();

  /// Settings of an instance that follows the store of this stage.
  engine::Settings SettingsOf(const std::string& aName) const;
  void StartInstance();
  void StopInstance();
  /// Changes the settings that the instance finds when it looks again.
  void ChangeSettings(const std::function<void(engine::Settings&)>& aChange);
  /// Whether the instance took the changed settings.
  bool SettingsWereRead();
  /// Waits until the instance is ready or a long time passed.
  bool AwaitReady();
  bool IsReady();
  bool IsRunning() const { return this->instance->IsRunning(); }

  std::string MetricsAddress() const { return this->instance->Get().MetricsAddress(); }
  std::string CallerAddress() const { return this->instance->Get().CallerAddress(); }
  Caller Connect() { return Caller(this->CallerAddress()); }

  /// Writes the standing configuration as a version, with changes made to it first.
  void Configure(uint64_t aVersion, const std::function<void(Json::Value&)>& aChange = {});

  fakes::SearchServer& ServerOf(const std::string& aService, size_t aIndex = 0);
  void ForEachServerOf(const std::string& aService,
                       const std::function<void(fakes::SearchServer&)>& aDo);
  /// How often a request ran at all servers together.
  int RunsOf(const std::string& aId) const;
  size_t ArrivalsAt(const std::string& aService);

  /// Waits until something holds or a long time passed.
  static bool Await(const std::function<bool()>& aHolds);

  static constexpr size_t kShards = 10;

  fakes::StandInLoop loop;
  fakes::ObjectStore store;
  std::vector<std::unique_ptr<fakes::SearchServer>> servers;

private:
  std::mutex settingsLock;
  std::optional<engine::Settings> changedSettings;
  std::unique_ptr<RunningInstance> instance;
};

} // namespace sapphirewind::test
