/// @file One connection to an upstream: it carries one request at a time and is always read, so
/// that a close or a stray answer is seen before the connection is used again.
#pragma once

#include <dispatch/Outcome.h>
#include <engine/Asio.h>
#include <engine/Wire.h>
#include <functional>

namespace sapphirewind::engine {

/// How an exchange ended. The answer is there for Answered, NotExecuted and ServerError.
struct ExchangeResult
{
  dispatch::AttemptOutcome end = dispatch::AttemptOutcome::Lost;
  HttpResponse response;
  ResponseMeta meta;
  /// The address is another server's.
  bool misdirected = false;
  /// What went wrong, for the log.
  const char* cause = "";
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
    /// Called when the connection can take another request.
    std::function<void(const std::shared_ptr<UpstreamConnection>&)> onIdle;
    /// Called once when the connection is of no more use.
    std::function<void(const std::shared_ptr<UpstreamConnection>&)> onClosed;
    /// Called with the time that connecting took.
    std::function<void(base::Duration)> onConnected;
  };

  explicit UpstreamConnection(Options aOptions);

  /// Sends a request, connecting first if need be. Precondition: none is under way.
  void Exchange(std::shared_ptr<HttpRequest> aRequest, std::string aRequestId, OnResult aOnResult);

  /// Closes the connection. A request under way ends as Lost or NotConnected.
  void Close(const char* aCause);

  bool IsOpen() const { return this->state != State::Closed; }
  base::Instant IdleSince() const { return this->idleSince; }
  /// Until when the server keeps the idle connection, as far as it said.
  base::Instant UsableUntil() const { return this->usableUntil; }

private:
  enum class State
  {
    Fresh,
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
  bool ParseAnswer();
  void OnEndOfStream(ErrorCode aError);
  void FinishAnswer();
  void Finish(ExchangeResult&& aResult);
  void NewParser();
  void BecomeIdle();

  Options options;
  Tcp::socket socket;
  Timer connectTimer;
  State state = State::Fresh;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::shared_ptr<HttpRequest> request;
  std::string requestId;
  OnResult onResult;
  bool written = false;
  /// Some bytes of the request may have left.
  bool sending = false;
  size_t strayAnswers = 0;
  base::Instant idleSince{};
  base::Instant usableUntil{};
};

} // namespace sapphirewind::engine
