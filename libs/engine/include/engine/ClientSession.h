/// @file A caller's connection. Requests are parsed within the configured limits and served one at
/// a time. Reading continues while a request is served, so that a disconnect is detected.
#pragma once

#include <engine/OneShotTimer.h>
#include <engine/RequestHandler.h>

namespace sapphirewind::engine {

/// The interface of the instance to its sessions.
class SessionHost
{
public:
  virtual ~SessionHost() = default;

  /// The current configuration; null before the first one is received.
  virtual std::shared_ptr<const directory::RouteTable> Routes() const = 0;
  /// Whether requests can be served; until then they wait for a limited time.
  virtual bool IsUsable() const = 0;
  virtual directory::CallerLimits Limits() const = 0;
  virtual bool IsDraining() const = 0;
  /// When bytes count as received that are read at aNow; see LoopMonitor.
  virtual base::Instant ReceivedAt(base::Instant aNow) const = 0;
  virtual EngineContext& Context() = 0;
  virtual void OnSessionClosed(const std::shared_ptr<class ClientSession>& aSession) = 0;
};

class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
  ClientSession(SessionHost& aHost, Tcp::socket aSocket);

  void Start();

  /// Called when the first configuration is received; serves the waiting request, if any.
  void OnConfiguration();

  /// Closes the connection unless a request is being read or served.
  void CloseIfIdle();

  /// Closes the connection and cancels the request in progress, if any.
  void Close();

  /// Whether a complete request waits for the first configuration.
  bool IsAwaitingConfiguration() const { return this->state == State::AwaitingConfiguration; }

  bool IsBusy() const { return this->state != State::Reading || this->buffer.size() > 0; }

private:
  enum class State
  {
    Reading,
    AwaitingConfiguration, ///< A request is complete, and no configuration is received yet.
    Serving,
    Writing,
    Lingering, ///< The last response is sent; further input is discarded.
    Closed
  };
  using Parser = http::request_parser<http::string_body>;

  void Read();
  void NoteWaitingBytes();
  void OnData();
  /// Starts to read a request, within the limits in force at its first byte.
  void BeginRequest();
  void ParseRequest();
  void SendContinueIfExpected();
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
  /// Extends a time that was armed and is over, if a newer configuration has raised it; returns
  /// whether it has.
  bool ExtendTimer(base::Duration& aArmed, base::Duration aCurrent);
  void OnTimer();
  void ReadNextRequest();

  SessionHost& host;
  Tcp::socket socket;
  OneShotTimer timer;
  State state = State::Reading;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::shared_ptr<HttpRequest> waitingRequest;
  std::shared_ptr<RequestHandler> handler;
  std::shared_ptr<HttpResponse> response;
  /// Of the first bytes of the current request.
  base::Instant requestReceivedAt{};
  base::Instant requestReadAt{};
  /// When the bytes count as received that were there as the read in progress began.
  std::optional<base::Instant> waitingBytesReceivedAt;
  /// The idle timeout announced to the caller, which holds even if a newer configuration has a
  /// lower one.
  base::Duration idleTimeout{ 0 };
  /// The time that the current request may take to arrive.
  base::Duration headerTimeout{ 0 };
  /// Of the current request; unknown until it has been read.
  http::verb method = http::verb::unknown;
  bool requestStarted = false;
  bool continueSent = false;
  bool keepAlive = true;
  bool readPending = false;
};

} // namespace sapphirewind::engine
