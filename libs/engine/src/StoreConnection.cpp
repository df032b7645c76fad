#include <engine/StoreConnection.h>

#include <algorithm>
#include <cassert>

namespace sapphirewind::engine {

namespace {

/// Limit on an answer, with its framing: a page of a list holds about 1 MB, a configuration at most
/// as much.
constexpr uint64_t kMaxAnswerBytes = 16 * 1024 * 1024;
/// Limit on the bytes read and not parsed yet, which bounds a chunk's extensions and trailers. The
/// parser limits the header and the body itself.
constexpr size_t kMaxUnparsedBytes = 128 * 1024;

/// A call's timeout is extended by the time that its bytes take at this rate, as on a small link
/// that sends a large configuration to several instances at once; at most by the time below.
constexpr int64_t kMinBytesPerSecond = 100 * 1024;
constexpr base::Duration kMaxTransferTime = std::chrono::seconds(6);
/// An answer of which nothing arrives for this long has stopped: its sender is paused or cut off.
/// Longer than a retransmission on a lossy link.
constexpr base::Duration kMaxTransferPause = std::chrono::milliseconds(1200);
/// Limit on a connect: a machine without power does not refuse connections, and the caller has
/// another source. The store answers within a few hundred milliseconds when it is slow.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(600);

base::Duration
TransferTime(uint64_t aBytes)
{
  std::chrono::microseconds time(static_cast<int64_t>(aBytes) * 1'000'000 / kMinBytesPerSecond);
  return std::min<base::Duration>(time, kMaxTransferTime);
}

} // namespace

StoreConnection::StoreConnection(Options aOptions)
  : options(std::move(aOptions))
  , timer(this->options.loop)
{
}

void
StoreConnection::Make(Call aCall, OnAnswer aOnAnswer)
{
  assert(!this->onAnswer && "a call is already in progress");
  this->onAnswer = std::move(aOnAnswer);
  this->options.metrics.Count(this->options.toInstance ? Counter::PeerCall : Counter::StoreCall);
  this->options.metrics.Count(aCall.kind, this->options.toInstance ? 0 : 1);
  uint64_t current = ++this->number;
  this->startedAt = base::Now();
  this->received = 0;
  auto exchange = std::make_shared<Exchange>();
  exchange->timeout = aCall.timeout;
  exchange->request = HttpRequest(aCall.method, aCall.target, 11);
  for (const auto& field : aCall.fields) {
    exchange->request.insert(field.name(), field.name_string(), field.value());
  }
  exchange->request.set(http::field::host, this->options.host);
  if (this->options.toInstance) {
    exchange->request.set(http::field::accept_encoding, kGzip);
  }
  exchange->request.body() = std::move(aCall.body);
  if (!exchange->request.body().empty()) {
    exchange->request.set(http::field::content_type, "application/json");
  }
  exchange->request.prepare_payload();
  exchange->buffer.max_size(kMaxUnparsedBytes);
  exchange->parser.body_limit(kMaxAnswerBytes);
  auto self = this->shared_from_this();
  if (this->connected) {
    this->Send(exchange, current);
    return;
  }
  this->ArmTimer(std::min(kConnectTimeout, exchange->timeout), "connect timeout");
  this->socket = std::make_shared<Tcp::socket>(this->options.loop);
  this->socket->async_connect(
    this->options.endpoint,
    [self, current, exchange, currentSocket = this->socket](ErrorCode aError) {
      if (aError) {
        self->Fail(current, "connection failed");
        return;
      }
      if (current != self->number) {
        return;
      }
      ErrorCode ignored; // The option only reduces latency; the connection works without it.
      currentSocket->set_option(Tcp::no_delay(true), ignored);
      self->connected = true;
      self->Send(exchange, current);
    });
}

void
StoreConnection::ArmTimer(base::Duration aAfter, const char* aCause)
{
  this->timer.Arm(aAfter, [self = this->shared_from_this(), current = this->number, aCause] {
    self->Fail(current, aCause);
  });
}

void
StoreConnection::Send(const std::shared_ptr<Exchange>& aExchange, uint64_t aNumber)
{
  auto self = this->shared_from_this();
  aExchange->sentAt = base::Now();
  this->ArmTimer(aExchange->timeout, "timeout");
  http::async_write(
    *this->socket,
    aExchange->request,
    [self, aExchange, aNumber, currentSocket = this->socket](ErrorCode aError, size_t) {
      if (aError) {
        self->Fail(aNumber, "write failed");
        return;
      }
      if (aNumber == self->number) {
        self->Receive(aExchange, aNumber);
      }
    });
}

void
StoreConnection::Receive(const std::shared_ptr<Exchange>& aExchange, uint64_t aNumber)
{
  auto self = this->shared_from_this();
  http::async_read_some(
    *this->socket,
    aExchange->buffer,
    aExchange->parser,
    [self, aExchange, aNumber, currentSocket = this->socket](ErrorCode aError, size_t aCount) {
      aExchange->received += aCount;
      if (aNumber == self->number) {
        self->received = aExchange->received;
      }
      if (aError) {
        self->Fail(aNumber, "response incomplete");
        return;
      }
      bool hasHeader = aExchange->parser.is_header_done();
      if (hasHeader && !IsFinalStatus(aExchange->parser.get().result_int())) {
        self->Fail(aNumber, "status of no answer");
        return;
      }
      if (aExchange->parser.is_done()) {
        self->Finish(aNumber, aExchange->parser.release());
        return;
      }
      if (aExchange->received > kMaxAnswerBytes) {
        self->Fail(aNumber, "response too long");
        return;
      }
      if (aNumber == self->number) {
        self->AwaitMore(*aExchange);
        self->Receive(aExchange, aNumber);
      }
    });
}

void
StoreConnection::AwaitMore(const Exchange& aExchange)
{
  base::Duration untilTimeout =
    aExchange.sentAt + aExchange.timeout + TransferTime(aExchange.received) - base::Now();
  if (untilTimeout > kMaxTransferPause) {
    this->ArmTimer(kMaxTransferPause, "answer stopped");
  } else {
    this->ArmTimer(untilTimeout, "timeout");
  }
}

void
StoreConnection::Fail(uint64_t aNumber, const char* aCause)
{
  if (aNumber != this->number) {
    return;
  }
  ++this->number;
  this->options.metrics.Count(this->options.toInstance ? Counter::PeerCallFailed
                                                       : Counter::StoreCallFailed);
  this->Disconnect();
  OnAnswer callback = std::move(this->onAnswer);
  this->onAnswer = nullptr;
  callback(StoreAnswer{
    .cause = aCause, .received = this->received, .took = base::Now() - this->startedAt });
}

void
StoreConnection::Finish(uint64_t aNumber, HttpResponse&& aResponse)
{
  if (aNumber != this->number) {
    return;
  }
  ++this->number;
  this->timer.Disarm();
  if (!aResponse.keep_alive()) {
    this->Disconnect();
  }
  OnAnswer callback = std::move(this->onAnswer);
  this->onAnswer = nullptr;
  callback(StoreAnswer{ .response = std::move(aResponse),
                        .received = this->received,
                        .took = base::Now() - this->startedAt });
}

void
StoreConnection::Stop()
{
  ++this->number;
  this->onAnswer = nullptr;
  this->Disconnect();
}

void
StoreConnection::Disconnect()
{
  this->connected = false;
  this->timer.Disarm();
  if (this->socket) {
    ErrorCode ignored; // The socket is discarded in any case.
    this->socket->close(ignored);
  }
}

} // namespace sapphirewind::engine
