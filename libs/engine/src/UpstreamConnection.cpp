#include <engine/UpstreamConnection.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cassert>
#include <charconv>

namespace sapphirewind::engine {

namespace {

/// Limit on the body of a response, which is buffered until it is complete.
constexpr uint64_t kMaxResponseBytes = 8 * 1024 * 1024;
constexpr uint32_t kMaxHeaderBytes = 32 * 1024;
constexpr size_t kReadBufferBytes = 16 * 1024;
/// Limit on the bytes of a response that are read and not parsed yet. The parser limits the header
/// itself, but waits for the end of a chunk's extensions or trailers however long they are.
constexpr size_t kMaxUnparsedBytes = kMaxHeaderBytes + kReadBufferBytes;
/// Limit on all bytes read for one request, with framing, interim responses and stray responses.
constexpr uint64_t kMaxExchangeBytes = kMaxResponseBytes + kMaxHeaderBytes;
/// Limit on the bytes of all responses in progress, a third of the memory of a small machine.
/// Beyond it, connections whose response is larger than kFairResponseBytes are closed.
constexpr uint64_t kMaxBufferedBytes = 48 * 1024 * 1024;
constexpr uint64_t kFairResponseBytes = 256 * 1024;
/// Interim (1xx) responses that are skipped before the connection is closed.
constexpr size_t kMaxInterimResponses = 8;
/// Responses to other requests that are skipped before the connection is closed.
constexpr size_t kMaxStrayResponses = 2;
/// Keep-alive timeout assumed when the response states none.
constexpr base::Duration kDefaultKeepAlive = std::chrono::seconds(4);
/// Reuse of an idle connection ends this long before the server's keep-alive timeout, so that no
/// request is sent on a connection that the server is closing.
constexpr base::Duration kKeepAliveMargin = std::chrono::milliseconds(500);

/// Whether a response is an interim one, which another follows. After 101 none does, and no request
/// asks for that.
bool
IsInterim(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 199 && aStatus != 101;
}

base::Duration
ParseKeepAlive(const http::fields& aFields)
{
  constexpr std::string_view kTimeout = "timeout=";
  auto value = aFields[http::field::keep_alive];
  std::string_view text(value.data(), value.size());
  size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  int seconds = 0;
  text.remove_prefix(at + kTimeout.size());
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace

UpstreamConnection::UpstreamConnection(Options aOptions)
  : options(std::move(aOptions))
  , socket(this->options.loop)
  , connectTimer(this->options.loop)
{
}

void
UpstreamConnection::Exchange(UpstreamRequest aRequest, OnResult aOnResult)
{
  assert(!this->onResult && "an exchange is already in progress");
  this->request = std::move(aRequest);
  this->onResult = std::move(aOnResult);
  this->requestWritten = false;
  this->mayHaveSent = false;
  this->strayResponses = 0;
  this->interimResponses = 0;
  if (this->state == State::Unconnected) {
    this->Connect();
  } else {
    this->Write();
  }
}

void
UpstreamConnection::Connect()
{
  this->state = State::Connecting;
  auto self = this->shared_from_this();
  this->connectTimer.expires_after(this->options.connectTimeout);
  this->connectTimer.async_wait([self](ErrorCode aError) {
    if (!aError && self->state == State::Connecting) {
      self->Close("connect timeout");
    }
  });
  base::Instant started = base::Now();
  this->socket.async_connect(this->options.endpoint, [self, started](ErrorCode aError) {
    if (self->state != State::Connecting) {
      return;
    }
    self->connectTimer.cancel();
    if (aError) {
      self->Close("connect failed");
      return;
    }
    ErrorCode ignored; // Without TCP_NODELAY the connection is only slower.
    self->socket.set_option(Tcp::no_delay(true), ignored);
    self->options.onConnected(base::Now() - started);
    self->Write();
    self->Read();
  });
}

void
UpstreamConnection::Write()
{
  base::Duration remaining = this->request.deadline - base::Now();
  if (remaining <= base::Duration(0)) {
    // Results are reported later, never from within Exchange.
    asio::post(this->options.loop,
               [self = this->shared_from_this()] { self->Close("deadline passed"); });
    return;
  }
  this->options.codec.writeUpstreamRequest(
    *this->request.message, { .remaining = remaining, .targetId = this->request.targetId });
  this->state = State::Busy;
  this->mayHaveSent = true;
  this->ResetParser();
  auto self = this->shared_from_this();
  auto message = this->request.message;
  http::async_write(this->socket, *message, [self, message](ErrorCode aError, size_t) {
    if (self->state != State::Busy || self->request.message != message) {
      return;
    }
    if (aError) {
      self->Close("write failed");
      return;
    }
    self->requestWritten = true;
  });
}

void
UpstreamConnection::Read()
{
  auto self = this->shared_from_this();
  this->socket.async_read_some(this->buffer.prepare(kReadBufferBytes),
                               [self](ErrorCode aError, size_t aCount) {
                                 if (self->state == State::Closed) {
                                   return;
                                 }
                                 self->buffer.commit(aCount);
                                 self->exchangeBytes += aCount;
                                 *self->options.bufferedBytes += aCount;
                                 if (aError) {
                                   self->OnEndOfStream(aError);
                                   return;
                                 }
                                 self->OnBytes();
                                 if (self->state != State::Closed) {
                                   self->Read();
                                 }
                               });
}

void
UpstreamConnection::OnBytes()
{
  if (this->state != State::Busy) {
    this->Close("unexpected bytes on an idle connection");
    return;
  }
  while (this->state == State::Busy && this->buffer.size() > 0) {
    if (!this->ParseResponse()) {
      break;
    }
  }
  if (this->state == State::Busy && this->IsEndless()) {
    this->Abandon("response without end");
  }
}

bool
UpstreamConnection::IsEndless() const
{
  bool memoryShort = *this->options.bufferedBytes > kMaxBufferedBytes;
  return this->buffer.size() > kMaxUnparsedBytes || this->exchangeBytes > kMaxExchangeBytes ||
         (memoryShort && this->exchangeBytes > kFairResponseBytes);
}

void
UpstreamConnection::ReleaseBytes()
{
  *this->options.bufferedBytes -= this->exchangeBytes;
  this->exchangeBytes = 0;
}

void
UpstreamConnection::Abandon(const char* aCause, unsigned aStatus)
{
  this->Finish(ExchangeResult{
    .outcome = dispatch::AttemptOutcome::Unusable, .status = aStatus, .cause = aCause });
  this->Close(aCause);
}

bool
UpstreamConnection::ParseResponse()
{
  ErrorCode error;
  size_t used = this->parser->put(this->buffer.data(), error);
  this->buffer.consume(used);
  if (error == http::error::need_more) {
    return false;
  }
  if (error) {
    this->Abandon("malformed response");
    return false;
  }
  if (this->parser->is_header_done() && this->HasBadStatus()) {
    return false;
  }
  if (this->parser->is_done()) {
    this->FinishResponse();
    return true;
  }
  return used > 0;
}

bool
UpstreamConnection::HasBadStatus()
{
  unsigned status = this->parser->get().result_int();
  if (IsFinalStatus(status) || IsInterim(status)) {
    return false;
  }
  this->Abandon("status of no answer", status);
  return true;
}

void
UpstreamConnection::OnEndOfStream(ErrorCode aError)
{
  bool cleanEnd = aError == asio::error::eof;
  if (cleanEnd && this->state == State::Busy && this->parser->got_some()) {
    // A response without Content-Length or chunked coding ends at the end of the stream.
    ErrorCode error;
    this->parser->put_eof(error);
    if (!error && this->parser->is_done()) {
      this->FinishResponse();
    }
  }
  this->Close(cleanEnd ? "connection closed by the server" : "reset");
}

void
UpstreamConnection::FinishResponse()
{
  HttpResponse response = this->parser->release();
  if (IsInterim(response.result_int())) {
    if (++this->interimResponses > kMaxInterimResponses) {
      this->Abandon("too many interim responses");
      return;
    }
    this->ResetParser();
    return;
  }
  ExchangeResult result;
  result.meta = this->options.codec.readResponse(response);
  this->serverLeaving = this->serverLeaving || result.meta.leaving;
  result.meta.leaving = this->serverLeaving;
  bool stray = !result.meta.requestId.empty() && result.meta.requestId != this->request.id;
  if (stray && this->strayResponses < kMaxStrayResponses && response.keep_alive()) {
    ++this->strayResponses;
    this->ResetParser();
    return;
  }
  bool success = response.result_int() < 300;
  bool isPlain = response.count(http::field::content_encoding) == 0 &&
                 HasCertainLength(response, response.version());
  bool usable = !stray && isPlain && (!success || !result.meta.signature.empty());
  bool serverFailed = response.result_int() >= 500;
  if (!usable) {
    result.outcome = dispatch::AttemptOutcome::Unusable;
    result.cause =
      stray ? "response to another request" : "response without signature or in a coding";
  } else if (result.meta.notExecuted || response.result() == http::status::misdirected_request) {
    result.outcome = dispatch::AttemptOutcome::NotExecuted;
    result.misdirected = response.result() == http::status::misdirected_request;
  } else {
    result.outcome =
      serverFailed ? dispatch::AttemptOutcome::ServerError : dispatch::AttemptOutcome::Answered;
  }
  // Surplus bytes, or a request not yet fully written, would corrupt the next exchange.
  bool reusable =
    usable && response.keep_alive() && this->requestWritten && this->buffer.size() == 0;
  base::Duration keepAlive = ParseKeepAlive(response);
  result.status = response.result_int();
  result.response = std::move(response);
  if (reusable) {
    this->usableUntil = base::Now() + keepAlive - kKeepAliveMargin;
    auto self = this->shared_from_this();
    OnResult callback = std::move(this->onResult);
    this->onResult = nullptr;
    this->BecomeIdle();
    if (callback) {
      callback(std::move(result));
    }
    return;
  }
  this->Finish(std::move(result));
  this->Close("connection not reusable");
}

void
UpstreamConnection::BecomeIdle()
{
  this->state = State::Idle;
  this->idleSince = base::Now();
  this->ReleaseBytes();
  this->request = {};
  this->options.onIdle(this->shared_from_this());
}

void
UpstreamConnection::Finish(ExchangeResult&& aResult)
{
  OnResult callback = std::move(this->onResult);
  this->onResult = nullptr;
  if (callback) {
    callback(std::move(aResult));
  }
}

void
UpstreamConnection::Close(const char* aCause)
{
  if (this->state == State::Closed) {
    return;
  }
  auto self = this->shared_from_this();
  this->state = State::Closed;
  this->ReleaseBytes();
  this->connectTimer.cancel();
  ErrorCode ignored; // The connection is discarded even if closing fails.
  this->socket.close(ignored);
  this->options.onClosed(self);
  this->Finish(ExchangeResult{ .outcome = this->mayHaveSent
                                            ? dispatch::AttemptOutcome::Lost
                                            : dispatch::AttemptOutcome::NotConnected,
                               .cause = aCause });
}

void
UpstreamConnection::ResetParser()
{
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->body_limit(kMaxResponseBytes);
  this->parser->header_limit(kMaxHeaderBytes);
  if (this->request.message && this->request.message->method() == http::verb::head) {
    this->parser->skip(true);
  }
}

} // namespace sapphirewind::engine
