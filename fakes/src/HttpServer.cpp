#include <fakes/HttpServer.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <sstream>

namespace sapphirewind::fakes {

namespace asio = boost::asio;
namespace http = engine::http;
using engine::ErrorCode;

namespace {

/// Binds without listening.
std::shared_ptr<engine::Tcp::acceptor>
Bind(engine::Loop& aLoop, const engine::Tcp::endpoint& aEndpoint)
{
  auto acceptor = std::make_shared<engine::Tcp::acceptor>(aLoop, aEndpoint.protocol());
  acceptor->set_option(engine::Tcp::acceptor::reuse_address(true));
  acceptor->bind(aEndpoint);
  return acceptor;
}

} // namespace

LoopThread::LoopThread()
  : work(asio::make_work_guard(this->loop))
  , thread([this] { this->loop.run(); })
{
}

LoopThread::~LoopThread()
{
  this->work.reset();
  this->loop.stop();
  this->thread.join();
}

void
LoopThread::Run(const std::function<void()>& aFunction)
{
  std::promise<void> done;
  asio::post(this->loop, [&] {
    aFunction();
    done.set_value();
  });
  done.get_future().wait();
}

/// One client connection.
class HttpServer::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(HttpServer& aOwner, engine::Tcp::socket aSocket)
    : owner(&aOwner)
    , socket(std::move(aSocket))
    , timer(this->socket.get_executor())
  {
  }

  void Read()
  {
    this->request = {};
    http::async_read(this->socket,
                     this->buffer,
                     this->request,
                     [self = this->shared_from_this()](ErrorCode aError, size_t) {
                       if (aError || self->owner == nullptr) {
                         self->Close();
                         return;
                       }
                       self->requestPending = true;
                       self->WatchForClose();
                       self->owner->handler(self->request, [self](HttpReply aReply) {
                         self->Reply(std::move(aReply));
                       });
                     });
  }

  void Close()
  {
    ErrorCode ignored;
    this->socket.close(ignored);
    if (this->owner != nullptr) {
      HttpServer* server = std::exchange(this->owner, nullptr);
      server->sessions.erase(this->shared_from_this());
    }
  }

private:
  /// Detects that the client closes the connection while its request is pending.
  void WatchForClose()
  {
    this->socket.async_wait(engine::Tcp::socket::wait_read,
                            [self = this->shared_from_this()](ErrorCode aError) {
                              if (aError || self->owner == nullptr || !self->requestPending) {
                                return;
                              }
                              ErrorCode error;
                              bool hasBytes = self->socket.available(error) > 0;
                              if (hasBytes && !error) {
                                return;
                              }
                              self->HandleAbandoned();
                            });
  }

  void HandleAbandoned()
  {
    if (this->owner->onAbandoned) {
      this->owner->onAbandoned(this->request);
    }
    this->Close();
  }

  void Reply(HttpReply aReply)
  {
    this->timer.expires_after(aReply.delay);
    this->timer.async_wait(
      [self = this->shared_from_this(), reply = std::move(aReply)](ErrorCode aError) mutable {
        if (!aError && self->owner != nullptr) {
          self->Write(std::move(reply));
        }
      });
  }

  void Write(HttpReply aReply)
  {
    if (aReply.delivery == HttpReply::Delivery::Withhold) {
      return;
    }
    this->requestPending = false;
    if (aReply.delivery == HttpReply::Delivery::Reset) {
      ErrorCode ignored;
      this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      this->Close();
      return;
    }
    bool close = aReply.delivery != HttpReply::Delivery::KeepAlive;
    aReply.response.keep_alive(!close);
    aReply.response.prepare_payload();
    std::ostringstream text;
    text << aReply.response;
    std::string bytes =
      aReply.rawBytes.empty() ? text.str() + aReply.trailingBytes : aReply.rawBytes;
    if (aReply.delivery == HttpReply::Delivery::Truncate) {
      bytes.resize(bytes.size() - aReply.response.body().size() / 2 - 1);
    }
    auto output = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(this->socket,
                      asio::buffer(*output),
                      [self = this->shared_from_this(), output, close](ErrorCode aError, size_t) {
                        if (aError || close) {
                          self->Close();
                          return;
                        }
                        self->Read();
                      });
  }

  HttpServer* owner;
  engine::Tcp::socket socket;
  engine::Timer timer;
  boost::beast::flat_buffer buffer;
  engine::HttpRequest request;
  /// A request has been read and not yet answered.
  bool requestPending = false;
};

HttpServer::HttpServer(LoopThread& aLoop,
                       uint16_t aPort,
                       Handler aHandler,
                       OnAbandoned aOnAbandoned)
  : loop(aLoop)
  , handler(std::move(aHandler))
  , onAbandoned(std::move(aOnAbandoned))
  , port(aPort)
{
  this->loop.Run([this] { this->Listen(); });
}

HttpServer::~HttpServer()
{
  this->loop.Run([this] {
    this->acceptor.reset();
    this->portHolder.reset();
    this->ResetSessions();
  });
}

void
HttpServer::Listen()
{
  this->acceptor =
    Bind(this->loop.Get(), engine::Tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->port));
  this->acceptor->listen();
  this->port = this->acceptor->local_endpoint().port();
  this->Accept();
}

void
HttpServer::SetDown(bool aDown)
{
  if (aDown == this->down) {
    return;
  }
  this->down = aDown;
  if (aDown) {
    this->ReservePort();
    this->ResetSessions();
  } else {
    this->portHolder.reset();
    this->Listen();
  }
}

void
HttpServer::ReservePort()
{
  engine::Tcp::endpoint endpoint = this->acceptor->local_endpoint();
  this->acceptor.reset();
  this->portHolder = Bind(this->loop.Get(), endpoint);
}

void
HttpServer::ResetSessions()
{
  std::set<std::shared_ptr<Session>> open = this->sessions;
  for (const auto& session : open) {
    session->Close();
  }
}

void
HttpServer::Accept()
{
  // An accept may be over, and its handler queued, as the server goes down or is destroyed.
  std::weak_ptr<engine::Tcp::acceptor> listening = this->acceptor;
  this->acceptor->async_accept([this, listening](ErrorCode aError, engine::Tcp::socket aSocket) {
    if (aError || listening.expired()) {
      return;
    }
    auto session = std::make_shared<Session>(*this, std::move(aSocket));
    this->sessions.insert(session);
    session->Read();
    this->Accept();
  });
}

} // namespace sapphirewind::fakes
