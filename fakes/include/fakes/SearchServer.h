/// @file A fake of one upstream server that implements the platform's server protocol, with fault
/// injection.
#pragma once

#include <base/Random.h>
#include <fakes/HttpServer.h>
#include <fakes/ObjectStore.h>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace sapphirewind::fakes {

/// How a server handles requests. Probabilities are per request.
struct ServerBehaviour
{
  base::Duration serviceTime = std::chrono::milliseconds(2);
  double shedProbability = 0.0; ///< Reports that it did not run the request.
  /// With a request that it did not run: the seconds for which it wants nothing; empty for none.
  std::string retryAfter;
  double resetProbability = 0.0;       ///< Runs the request and resets the connection.
  double truncateProbability = 0.0;    ///< Runs the request and truncates the answer.
  double extraAnswerProbability = 0.0; ///< Sends a second answer after the first.
  double failProbability = 0.0;        ///< Runs the request and answers 500.
  /// The requests a second that the server says it accepts from all instances together.
  std::optional<double> requestRate;
  bool unresponsive = false; ///< Accepts requests and never answers.
  /// Maps the bytes of each answer to the bytes that are sent in place of it.
  std::function<std::string(const std::string&)> mutateAnswer;
  /// Stands in each answer in place of the status and its reason; the connection is kept. Empty for
  /// none.
  std::string status;
  /// Requests with this target crash the server: it closes all connections and refuses new ones.
  /// Empty for none.
  std::string crashTarget;
  /// How long a server that crashes still accepts connections after it has closed those in use, as
  /// a process closes its sockets one after the other.
  base::Duration listensOnFor{ 0 };
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
  ~SearchServer();

  std::string Address() const { return this->server.Address(); }
  const std::string& Id() const { return this->options.id; }
  const std::string& Service() const { return this->options.service; }

  void SetBehaviour(const ServerBehaviour& aBehaviour);
  /// Sets the value of the header that says that the server leaves, in all its answers until the
  /// next start; empty for none.
  void SetLeaving(const std::string& aValue);
  bool IsLeaving() const;
  void SetDown(bool aDown);
  /// Starts the process anew, under the same id and address; Register makes it known.
  void Restart();

  /// Writes this server's entry to the store. An address overrides the server's own, for example
  /// that of a relay.
  void Register(ObjectStore& aStore,
                const std::string& aState = "ready",
                const std::string& aAddress = "") const;

  /// The number of runs of each request, by request id.
  std::map<std::string, int> Runs() const;
  /// How often the client closed its connection before the answer to a request.
  int Abandoned(const std::string& aId) const;
  size_t Arrivals() const;
  /// A request as this server saw it.
  struct Arrival
  {
    std::string id;
    base::Instant at{};
    /// The start of the server, in Unix milliseconds.
    int64_t born = 0;
    /// Whether its answer, if one was sent, said that the server leaves.
    bool saidLeaving = false;
    /// Whether it was turned away with a time for which the server wants nothing, and which.
    std::string retryAfter;
  };
  std::vector<Arrival> AllArrivals() const;
  /// How often a request crashed this server.
  int Crashes() const;
  /// When the process started.
  int64_t Born() const;

  /// The records that each server of a service returns for a request target.
  static std::string RecordsOf(const std::string& aService, const std::string& aTarget);

private:
  void Handle(const engine::HttpRequest& aRequest, const HttpServer::Respond& aRespond);
  void Crash(const HttpServer::Respond& aRespond);
  /// Sets the headers that each answer of this server has.
  void SetCommonHeaders(engine::HttpResponse& aResponse, const std::string& aId) const;
  HttpReply Run(const engine::HttpRequest& aRequest, const std::string& aId);
  bool HappensWithProbability(double aProbability);
  bool CrashesOn(const engine::HttpRequest& aRequest) const;

  Options options;
  mutable std::mutex lock;
  ServerBehaviour behaviour;
  base::Random random;
  std::map<std::string, int> runs;
  std::map<std::string, int> abandoned;
  std::vector<Arrival> arrivals;
  std::string leaving;
  int crashes = 0;
  /// When the process started, in Unix milliseconds; only differences matter.
  int64_t born = 1;
  /// Runs from a crash until the process is gone; used on the loop's thread.
  std::shared_ptr<engine::Timer> exit;
  HttpServer server;
};

} // namespace sapphirewind::fakes
