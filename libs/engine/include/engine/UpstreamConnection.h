/// @file A connection to an upstream server. It carries one request at a time and always has a read
/// pending, so that a close or a stray response is detected before the connection is reused.
#pragma once

#include <dispatch/Outcome.h>
#include <engine/Asio.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

/// The outcome of an exchange. The response is set for Answered, NotExecuted and ServerError.
struct ExchangeResult
{
  dispatch::AttemptOutcome outcome = dispatch::AttemptOutcome::Lost;
  HttpResponse response;
  /// The status that the server sent, whatever it is; 0 without one.
  unsigned status = 0;
  ResponseMeta meta;
  /// The server responded with 421 Misdirected Request: another server has the address now.
  bool misdirected = false;
  /// Cause of a failure, for the log.
  const char* cause = "";
};

/// A request to a server.
struct UpstreamRequest
{
  std::shared_ptr<HttpRequest> message;
  std::string id;
  std::string targetId;
  /// The time left until then is computed as the request is written, which may be long after it was
  /// made: a connection is opened first, and the loop may be busy.
  base::Instant deadline{};
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  using OnResult = std::function<void(ExchangeResult&&)>;

  struct Options
  {
    Loop& loop;
    const WireCodec& codec;
    Tcp::endpoint endpoint;
    base::Duration connectTimeout{ 0 };
    /// Called when the connection is ready for the next request.
    std::function<void(const std::shared_ptr<UpstreamConnection>&)> onIdle;
    /// Called once when the connection is closed.
    std::function<void(const std::shared_ptr<UpstreamConnection>&)> onClosed;
    /// Called with the time that the connect took.
    std::function<void(base::Duration)> onConnected;
    /// The bytes that all connections of the instance hold for responses in progress.
    std::shared_ptr<uint64_t> bufferedBytes = std::make_shared<uint64_t>(0);
  };

  explicit UpstreamConnection(Options aOptions);

  /// Sends a request, after connecting if necessary. Precondition: no exchange is in progress.
  /// A request whose deadline passes before it is written ends as NotConnected.
  void Exchange(UpstreamRequest aRequest, OnResult aOnResult);

  /// Closes the connection. An exchange in progress ends as Lost or NotConnected.
  void Close(const char* aCause);

  bool IsOpen() const { return this->state != State::Closed; }
  base::Instant IdleSince() const { return this->idleSince; }
  /// When the idle connection must no longer be reused: the server's keep-alive timeout or the
  /// default, less a margin.
  base::Instant UsableUntil() const { return this->usableUntil; }

private:
  enum class State
  {
    Unconnected,
    Connecting,
    Idle,
    Busy,
    Closed
  };
  using Parser = http::response_parser<http::string_body>;

  void Connect();
  void Write();
  void Read();
  void OnBytes();
  bool ParseResponse();
  void OnEndOfStream(ErrorCode aError);
  void FinishResponse();
  void Finish(ExchangeResult&& aResult);
  /// Ends the exchange as Unusable and closes the connection.
  void Abandon(const char* aCause, unsigned aStatus = 0);
  /// Abandons the exchange if the status is neither that of a whole nor of an interim answer.
  bool HasBadStatus();
  /// Whether the response is beyond the limits that no valid one reaches.
  bool IsEndless() const;
  void ReleaseBytes();
  void ResetParser();
  void BecomeIdle();

  Options options;
  Tcp::socket socket;
  Timer connectTimer;
  State state = State::Unconnected;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  UpstreamRequest request;
  OnResult onResult;
  bool requestWritten = false;
  /// Writing has started, so the server may have received the request.
  bool mayHaveSent = false;
  size_t strayResponses = 0;
  size_t interimResponses = 0;
  uint64_t exchangeBytes = 0;
  /// Whether a response on this connection, to whichever request, said that the server leaves.
  bool serverLeaving = false;
  base::Instant idleSince{};
  base::Instant usableUntil{};
};

} // namespace sapphirewind::engine
