/// @file A stand-in for one upstream server as the platform's servers speak, with their faults.
#pragma once

#include <base/Random.h>
#include <fakes/HttpServer.h>
#include <fakes/ObjectStore.h>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace sapphirewind::fakes {

/// What a server does with requests. Shares are of requests, drawn by chance.
struct ServerBehaviour
{
  base::Duration serviceTime = std::chrono::milliseconds(2);
  double shedProbability = 0.0;        ///< Says that it did not run the request.
  double resetProbability = 0.0;       ///< Runs it and resets the connection.
  double truncateProbability = 0.0;    ///< Runs it and breaks the answer off.
  double extraAnswerProbability = 0.0; ///< Sends a second answer after the first.
  double failProbability = 0.0;        ///< Runs it and answers 500.
  bool unresponsive = false;           ///< Takes requests and never answers.
  /// Damages the bytes of each answer.
  std::function<std::string(const std::string&)> mutateAnswer;
  /// Ends, with all its connections, under requests with this target; empty for none.
  std::string crashTarget;
};

class SearchServer
{
public:
  struct Options
  {
    LoopThread& loop;
    std::string id;
    std::string service;
    std::string zone = "a";
    unsigned slots = 4;
    uint64_t seed = 1;
    uint16_t port = 0;
  };

  explicit SearchServer(Options aOptions);

  std::string Address() const { return this->server.Address(); }
  const std::string& Id() const { return this->options.id; }
  const std::string& Service() const { return this->options.service; }

  void SetBehaviour(const ServerBehaviour& aBehaviour);
  void SetDown(bool aDown);

  /// Writes this server's entry to the store, with another address if it is reached over a link.
  void Register(ObjectStore& aStore,
                const std::string& aState = "ready",
                const std::string& aAddress = "") const;

  /// How often each request ran here.
  std::map<std::string, int> Runs() const;
  /// How often the caller of a request closed its connection while it ran.
  int Abandoned(const std::string& aId) const;
  size_t Arrivals() const;
  /// How often a request ended it.
  int Crashes() const;

  /// The records that a server of a service holds for a path: all servers of one hold the same.
  static std::string RecordsOf(const std::string& aService, const std::string& aTarget);

private:
  void Handle(const engine::HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  HttpReply Run(const engine::HttpRequest& aRequest, const std::string& aId);
  bool Happens(double aShare);
  bool CrashesUnder(const engine::HttpRequest& aRequest) const;

  Options options;
  mutable std::mutex lock;
  ServerBehaviour behaviour;
  base::Random random;
  std::map<std::string, int> runs;
  std::map<std::string, int> abandoned;
  size_t arrivals = 0;
  int crashes = 0;
  HttpServer server;
};

} // namespace sapphirewind::fakes
