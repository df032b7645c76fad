/// @file Runs an instance against a fake store and fake servers, and connects callers to it.
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

/// An instance that runs on its own thread.
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

/// A fake store, ten shards s0 to s9 with two servers each, a plain service "p" with two servers,
/// and an instance that watches the store.
class EngineFixture
{
public:
  EngineFixture();

  /// Settings of an instance that watches this fixture's store.
  engine::Settings SettingsOf(const std::string& aName) const;
  void StartInstance();
  void StopInstance();
  /// Sets the settings that the instance reads at its next reload.
  void ChangeSettings(const std::function<void(engine::Settings&)>& aChange);
  /// Whether the instance has read the changed settings.
  bool SettingsWereRead();
  /// Waits until the instance is ready; false after Caller::kTimeout.
  bool AwaitReady();
  bool IsReady();
  bool IsRunning() const { return this->instance->IsRunning(); }

  std::string MetricsAddress() const { return this->instance->Get().MetricsAddress(); }
  std::string CallerAddress() const { return this->instance->Get().CallerAddress(); }
  Caller Connect() { return Caller(this->CallerAddress()); }

  /// Stores the test configuration under a version, modified by aChange.
  void Configure(uint64_t aVersion, const std::function<void(Json::Value&)>& aChange = {});

  fakes::SearchServer& ServerOf(const std::string& aService, size_t aIndex = 0);
  void ForEachServerOf(const std::string& aService,
                       const std::function<void(fakes::SearchServer&)>& aAction);
  /// How often a request was executed, summed over all servers.
  int RunsOf(const std::string& aId) const;
  size_t ArrivalsAt(const std::string& aService);

  /// Polls until a condition holds; false after Caller::kTimeout.
  static bool Await(const std::function<bool()>& aCondition);

  static constexpr size_t kShards = 10;

  fakes::LoopThread loop;
  fakes::ObjectStore store;
  std::vector<std::unique_ptr<fakes::SearchServer>> servers;

private:
  std::mutex settingsLock;
  std::optional<engine::Settings> changedSettings;
  std::unique_ptr<RunningInstance> instance;
};

} // namespace sapphirewind::test
