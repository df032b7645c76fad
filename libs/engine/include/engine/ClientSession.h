/// @file One caller's connection: requests are read within the limits, served one at a time, and
/// the connection is read all the while, so that a caller that leaves is noticed.
#pragma once

#include <engine/RequestHandler.h>

namespace sapphirewind::engine {

/// What sessions ask of the instance.
class SessionHost
{
public:
  virtual ~SessionHost() = default;

  /// The configuration in force; null before the first.
  virtual std::shared_ptr<const directory::RouteTable> Routes() const = 0;
  /// Whether requests can be served; until then they wait a little.
  virtual bool IsUsable() const = 0;
  virtual directory::CallerLimits Limits() const = 0;
  virtual bool IsDraining() const = 0;
  virtual EngineContext& Context() = 0;
  virtual void OnSessionClosed(const std::shared_ptr<class ClientSession>& aSession) = 0;
};

class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
  ClientSession(SessionHost& aHost, Tcp::socket aSocket);

  void Start();

  /// There is a configuration now: serves the request that waits for one.
  void OnConfiguration();

  /// Closes the connection unless a request is being read or served.
  void CloseIfIdle();

  bool IsBusy() const { return this->state != State::Reading || this->buffer.size() > 0; }

private:
  enum class State
  {
    Reading,
    Waiting, ///< A request is there, and no configuration yet.
    Serving,
    Writing,
    Lingering, ///< The last answer is out; bytes still coming in are thrown away.
    Closed
  };
  using Parser = http::request_parser<http::string_body>;

  void Read();
  void OnBytes();
  void ParseRequest();
  void ContinueIfExpected();
  void RejectMalformed(ErrorCode aError);
  void RejectAndClose(const struct Rejection& aRejection);
  void Dispatch();
  void Route(const std::shared_ptr<HttpRequest>& aRequest);
  void StartRequest(std::shared_ptr<const HttpRequest> aRequest,
                    std::shared_ptr<const directory::RouteTable> aRoutes,
                    const directory::Route& aRoute);
  void Write(HttpResponse&& aResponse);
  void OnWritten();
  void Linger();
  void ArmTimer(base::Duration aAfter);
  void OnTimer();
  void Close();
  void NextRequest();

  SessionHost& host;
  Tcp::socket socket;
  Timer timer;
  State state = State::Reading;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::shared_ptr<HttpRequest> waiting;
  std::shared_ptr<RequestHandler> run;
  std::shared_ptr<HttpResponse> response;
  base::Instant requestStartedAt{};
  /// The idle limit that the caller may count on, which a newer configuration may have lowered.
  base::Duration idleTimeout{ 0 };
  bool requestStarted = false;
  bool continueSent = false;
  bool keepAlive = true;
  bool readPending = false;
};

} // namespace sapphirewind::engine
