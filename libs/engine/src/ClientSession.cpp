#include <engine/ClientSession.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "Rejection.h"

namespace sapphirewind::engine {

namespace {

constexpr size_t kReadBufferBytes = 8 * 1024;
/// Reading stops when pipelined input exceeds this size plus the body limit.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;
/// How long input is read and discarded after the last response. Closing with unread input would
/// reset the connection, and the caller might lose the response.
constexpr base::Duration kLingerTimeout = std::chrono::milliseconds(500);
/// Limit on the time to write a response to a slow caller.
constexpr base::Duration kWriteTimeout = std::chrono::seconds(10);
/// Assumed for a request without a deadline header; the route's timeout also applies.
constexpr base::Duration kDefaultTimeout = std::chrono::seconds(60);
/// How long a request waits for the first configuration. A starting instance receives it within a
/// few calls to the store, which may be unreachable briefly after a fault that both share.
constexpr base::Duration kConfigurationWait = std::chrono::milliseconds(1000);
/// The wait is also limited to the caller's timeout divided by this, so that the caller can still
/// try another instance.
constexpr int kConfigurationWaitDivisor = 4;
/// Retry-After when the wait for a configuration timed out.
constexpr base::Duration kNoConfigurationRetryAfter = std::chrono::milliseconds(300);
/// Retry-After of a quarantined request: the whole quarantine period, as a retry before its end is
/// rejected again.
constexpr base::Duration kQuarantineRetryAfter = quarantine::kQuarantineTime;

http::status
StatusOf(ErrorCode aError)
{
  if (aError == http::error::header_limit) {
    return http::status::request_header_fields_too_large;
  }
  if (aError == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  return http::status::bad_request;
}

/// Whether a request has exactly one Host header, an origin-form target, a method other than
/// CONNECT and TRACE and a certain length.
bool
IsSupportedRequest(const HttpRequest& aRequest)
{
  auto hosts = aRequest.equal_range(http::field::host);
  bool oneHost = std::distance(hosts.first, hosts.second) == 1;
  bool path = !aRequest.target().empty() && aRequest.target().front() == '/';
  bool method = aRequest.method() != http::verb::connect && aRequest.method() != http::verb::trace;
  return oneHost && path && method && HasCertainLength(aRequest, aRequest.version());
}

} // namespace

ClientSession::ClientSession(SessionHost& aHost, Tcp::socket aSocket)
  : host(aHost)
  , socket(std::move(aSocket))
  , timer(aHost.Context().loop)
{
}

void
ClientSession::Start()
{
  ErrorCode ignored; // Without TCP_NODELAY the connection is only slower.
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->idleTimeout = this->host.Limits().idleTimeout;
  this->ReadNextRequest();
  this->Read();
}

void
ClientSession::ReadNextRequest()
{
  this->state = State::Reading;
  this->requestStarted = false;
  this->ArmTimer(this->idleTimeout);
  if (this->buffer.size() > 0) {
    this->OnData();
  }
}

void
ClientSession::Read()
{
  if (this->readPending || this->state == State::Closed ||
      this->buffer.size() >= kMaxPipelinedBytes + this->host.Limits().maxBodyBytes) {
    return;
  }
  this->readPending = true;
  this->NoteWaitingBytes();
  auto self = this->shared_from_this();
  this->socket.async_read_some(this->buffer.prepare(kReadBufferBytes),
                               [self](ErrorCode aError, size_t aCount) {
                                 self->readPending = false;
                                 if (self->state == State::Closed) {
                                   return;
                                 }
                                 if (aError) {
                                   self->Close();
                                   return;
                                 }
                                 self->buffer.commit(aCount);
                                 self->OnData();
                                 self->Read();
                               });
}

void
ClientSession::NoteWaitingBytes()
{
  ErrorCode ignored; // The read that follows reports what is wrong with the socket.
  bool waiting = this->socket.available(ignored) > 0;
  this->waitingBytesReceivedAt =
    waiting ? std::optional(this->host.ReceivedAt(base::Now())) : std::nullopt;
}

void
ClientSession::OnData()
{
  if (this->state == State::Lingering) {
    this->buffer.consume(this->buffer.size());
    return;
  }
  if (this->state != State::Reading || this->buffer.size() == 0) {
    return;
  }
  if (!this->requestStarted) {
    this->BeginRequest();
  }
  this->ParseRequest();
}

void
ClientSession::BeginRequest()
{
  // Not when the connection became idle: a version that came since may have raised the limits.
  directory::CallerLimits limits = this->host.Limits();
  this->requestStarted = true;
  this->continueSent = false;
  this->method = http::verb::unknown;
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(
    static_cast<uint32_t>(std::min<size_t>(limits.maxHeaderBytes, UINT32_MAX)));
  this->parser->body_limit(limits.maxBodyBytes);
  this->requestReadAt = base::Now();
  this->requestReceivedAt =
    this->waitingBytesReceivedAt.value_or(this->host.ReceivedAt(this->requestReadAt));
  this->headerTimeout = limits.headerTimeout;
  this->ArmTimer(limits.headerTimeout);
}

void
ClientSession::ParseRequest()
{
  while (this->buffer.size() > 0 && !this->parser->is_done()) {
    ErrorCode error;
    size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    this->method = this->parser->get().method();
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      this->RejectMalformed(error);
      return;
    }
    if (used == 0) {
      break;
    }
  }
  // Before anything of the body counts, and before the caller is asked for it.
  if (this->parser->is_header_done() && !IsSupportedRequest(this->parser->get())) {
    this->RejectAndClose({ .why = "no single host, path, usable method or certain length" });
    return;
  }
  if (this->parser->is_done()) {
    this->Dispatch();
    return;
  }
  this->SendContinueIfExpected();
}

void
ClientSession::SendContinueIfExpected()
{
  if (this->continueSent || !this->parser->is_header_done() ||
      !boost::beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
    return;
  }
  this->continueSent = true;
  auto interim = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
  http::async_write(
    this->socket, *interim, [self = this->shared_from_this(), interim](ErrorCode aError, size_t) {
      if (aError) {
        self->Close();
      }
    });
}

void
ClientSession::RejectMalformed(ErrorCode aError)
{
  bool isTooLarge = aError == http::error::header_limit || aError == http::error::body_limit;
  if (isTooLarge && !this->host.Routes()) {
    // The first configuration may allow it.
    this->RejectAndClose({ .status = http::status::service_unavailable,
                           .why = "too large to wait for a configuration",
                           .retryAfter = kNoConfigurationRetryAfter });
    return;
  }
  this->RejectAndClose(
    { .status = StatusOf(aError), .why = "malformed request: " + aError.message() });
}

void
ClientSession::RejectAndClose(const Rejection& aRejection)
{
  this->keepAlive = false;
  this->Write(Reject(this->host.Context(), aRejection));
}

void
ClientSession::Dispatch()
{
  this->state = State::Serving;
  this->timer.Disarm();
  auto message = std::make_shared<HttpRequest>(this->parser->release());
  this->keepAlive = message->keep_alive();
  EngineContext& context = this->host.Context();
  if (this->host.IsUsable()) {
    this->Route(message);
    return;
  }
  this->state = State::AwaitingConfiguration;
  this->waitingRequest = message;
  base::Duration timeout = context.codec.readRequest(*message).timeout.value_or(kDefaultTimeout);
  this->ArmTimer(std::min(kConfigurationWait, timeout / kConfigurationWaitDivisor));
}

void
ClientSession::OnConfiguration()
{
  if (this->state != State::AwaitingConfiguration) {
    return;
  }
  this->state = State::Serving;
  this->timer.Disarm();
  this->Route(std::exchange(this->waitingRequest, nullptr));
}

void
ClientSession::Route(const std::shared_ptr<HttpRequest>& aRequest)
{
  EngineContext& context = this->host.Context();
  std::shared_ptr<const directory::RouteTable> routes = this->host.Routes();
  auto host = (*aRequest)[http::field::host];
  const directory::Route* route =
    routes->Find(std::string_view(host.data(), host.size()),
                 std::string_view(aRequest->target().data(), aRequest->target().size()));
  if (route == nullptr) {
    this->Write(Reject(context,
                       { .status = http::status::not_found,
                         .why = "no route",
                         .requestId = context.codec.readRequest(*aRequest).id,
                         .version = routes->Current().version,
                         .subject = std::string(aRequest->target()) }));
    return;
  }
  RemoveHopByHop(*aRequest);
  aRequest->erase(http::field::expect);
  aRequest->prepare_payload();
  this->StartRequest(aRequest, routes, *route);
}

void
ClientSession::StartRequest(std::shared_ptr<const HttpRequest> aRequest,
                            std::shared_ptr<const directory::RouteTable> aRoutes,
                            const directory::Route& aRoute)
{
  EngineContext& context = this->host.Context();
  auto incoming = std::make_shared<IncomingRequest>();
  incoming->message = aRequest;
  incoming->meta = context.codec.readRequest(*aRequest);
  incoming->receivedAt = this->requestReceivedAt;
  base::Duration timeout = incoming->meta.timeout.value_or(kDefaultTimeout);
  incoming->deadline = this->requestReceivedAt + std::min(timeout, aRoute.timeout);
  // Counted from the reading: a caller whose answer is late in any case is served best by a whole
  // one.
  incoming->objective = this->requestReadAt + aRoute.objective;
  incoming->routes = std::move(aRoutes);
  incoming->route = &aRoute;
  incoming->fingerprint = FingerprintOf(*aRequest);
  quarantine::QuarantineState quarantineState =
    context.crashGuard.QuarantineStateOf(incoming->fingerprint);
  if (quarantineState == quarantine::QuarantineState::Quarantined) {
    this->Write(Reject(context,
                       { .status = http::status::service_unavailable,
                         .why = "request quarantined: servers crashed while executing it",
                         .requestId = incoming->meta.id,
                         .version = incoming->routes->Current().version,
                         .subject = base::ToHex(incoming->fingerprint),
                         .retryAfter = kQuarantineRetryAfter }));
    return;
  }
  incoming->isSuspect = quarantineState == quarantine::QuarantineState::Suspect;
  std::weak_ptr<ClientSession> weak = this->weak_from_this();
  this->handler = engine::StartRequest(context, incoming, [weak](HttpResponse&& aResponse) {
    if (auto self = weak.lock()) {
      self->handler.reset();
      self->Write(std::move(aResponse));
    }
  });
}

void
ClientSession::Write(HttpResponse&& aResponse)
{
  if (this->state == State::Closed) {
    return;
  }
  this->state = State::Writing;
  this->keepAlive = this->keepAlive && !this->host.IsDraining();
  this->response = std::make_shared<HttpResponse>(std::move(aResponse));
  this->response->keep_alive(this->keepAlive);
  OmitForbiddenBody(*this->response, this->method);
  if (this->keepAlive) {
    this->idleTimeout = this->host.Limits().idleTimeout;
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->idleTimeout);
    this->response->set(http::field::keep_alive, fmt::format("timeout={}", seconds.count()));
  }
  this->ArmTimer(kWriteTimeout);
  http::async_write(
    this->socket, *this->response, [self = this->shared_from_this()](ErrorCode aError, size_t) {
      if (self->state != State::Writing) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->OnWritten();
    });
}

void
ClientSession::OnWritten()
{
  if (!this->keepAlive) {
    this->Linger();
    return;
  }
  this->ReadNextRequest();
  this->Read();
}

void
ClientSession::Linger()
{
  this->state = State::Lingering;
  this->buffer.consume(this->buffer.size());
  ErrorCode error;
  this->socket.shutdown(Tcp::socket::shutdown_send, error);
  if (error) {
    this->Close();
    return;
  }
  this->ArmTimer(kLingerTimeout);
  this->Read();
}

void
ClientSession::ArmTimer(base::Duration aAfter)
{
  this->timer.Arm(aAfter, [self = this->shared_from_this()] {
    if (self->state != State::Closed) {
      self->OnTimer();
    }
  });
}

bool
ClientSession::ExtendTimer(base::Duration& aArmed, base::Duration aCurrent)
{
  if (aCurrent <= aArmed) {
    return false;
  }
  this->ArmTimer(aCurrent - std::exchange(aArmed, aCurrent));
  return true;
}

void
ClientSession::OnTimer()
{
  if (this->state == State::AwaitingConfiguration) {
    std::string id = this->host.Context().codec.readRequest(*this->waitingRequest).id;
    this->waitingRequest.reset();
    this->Write(Reject(this->host.Context(),
                       { .status = http::status::service_unavailable,
                         .why = "no configuration yet",
                         .requestId = id,
                         .retryAfter = kNoConfigurationRetryAfter }));
    return;
  }
  directory::CallerLimits limits = this->host.Limits();
  bool requestIncomplete = this->state == State::Reading && this->requestStarted;
  if (requestIncomplete && this->ExtendTimer(this->headerTimeout, limits.headerTimeout)) {
    return;
  }
  if (requestIncomplete) {
    this->RejectAndClose(
      { .status = http::status::request_timeout, .why = "the request took too long to arrive" });
    return;
  }
  if (this->state == State::Reading && this->ExtendTimer(this->idleTimeout, limits.idleTimeout)) {
    return;
  }
  this->Close();
}

void
ClientSession::CloseIfIdle()
{
  if (!this->IsBusy()) {
    this->Linger();
  }
}

void
ClientSession::Close()
{
  if (this->state == State::Closed) {
    return;
  }
  this->state = State::Closed;
  if (this->handler) {
    this->handler->Cancel();
    this->handler.reset();
  }
  this->timer.Disarm();
  ErrorCode ignored; // The connection is discarded even if closing fails.
  this->socket.close(ignored);
  this->host.OnSessionClosed(this->shared_from_this());
}

} // namespace sapphirewind::engine
