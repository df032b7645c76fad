/// @file One instance between stand-ins of the store and of servers, and callers that speak to it.
#pragma once

#include <engine/Instance.h>
#include <fakes/ObjectStore.h>
#include <fakes/SearchServer.h>
#include <memory>
#include <optional>
#include <thread>

namespace sapphirewind::test {

/// What a caller's request carries.
struct Ask
{
  std::string target = "/q/1";
  std::string id = "id-1";
  std::string method = "GET";
  std::string body;
  int deadlineMs = 2000;
  std::string host = "search.example";
};

/// A caller with one connection.
class Caller
{
public:
  explicit Caller(const std::string& aAddress);

  /// Sends bytes as they are.
  void Send(const std::string& aBytes);
  /// Reads one answer; empty when the connection ends first or nothing comes for long.
  std::optional<engine::HttpResponse> Receive();
  std::optional<engine::HttpResponse> Exchange(const Ask& aAsk);
  /// Whether the other side ended the connection.
  bool IsEnded();
  void Close();

private:
  boost::asio::io_context loop;
  engine::Tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

std::string
Bytes(const Ask& aAsk);

/// A header of an answer as text.
std::string
Header(const engine::HttpResponse& aResponse, const std::string& aName);

/// The store, ten shards s0 to s9 of two servers each and a plain service "p" of two servers, and
/// an instance that follows them.
class EngineStage
{
public:
  EngineStage();
  ~EngineStage();

  void StartInstance();
  void StopInstance();
  /// Waits until the instance is ready or a long time passed.
  bool AwaitReady();
  bool IsReady();
  bool IsRunning() const { return this->running; }

  Caller Connect() { return Caller(this->callerAddress); }
  std::string CallerAddress() const { return this->callerAddress; }
  std::string StatusAddress() const { return this->statusAddress; }

  /// Writes the standing configuration as a version, with changes made to it first.
  void Configure(uint64_t aVersion, const std::function<void(Json::Value&)>& aChange = {});

  fakes::SearchServer& ServerOf(const std::string& aService, size_t aIndex = 0);
  void ForServersOf(const std::string& aService,
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
  std::string callerAddress;
  std::string statusAddress;
  std::unique_ptr<engine::Instance> instance;
  std::thread thread;
  std::atomic<bool> running{ false };
};

} // namespace sapphirewind::test
