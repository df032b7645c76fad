#include <engine/HttpServer.h>
#include <engine/OneShotTimer.h>

namespace sapphirewind::engine {

namespace {

/// Connections without a request for this long are closed; clients of these endpoints poll every
/// few seconds.
constexpr base::Duration kIdleTimeout = std::chrono::seconds(30);
/// Limit on the bytes of a request that are read and not parsed yet; requests are small.
constexpr size_t kMaxUnparsedBytes = 64 * 1024;

/// One connection; requests are answered sequentially.
class HttpServerSession : public std::enable_shared_from_this<HttpServerSession>
{
public:
  HttpServerSession(HttpServer::Handler aHandler, Loop& aLoop, Tcp::socket aSocket)
    : handler(std::move(aHandler))
    , socket(std::move(aSocket))
    , timer(aLoop)
  {
    this->buffer.max_size(kMaxUnparsedBytes);
  }

  void Read()
  {
    auto self = this->shared_from_this();
    this->timer.Arm(kIdleTimeout, [self] { self->Close(); });
    this->request = {};
    http::async_read(this->socket, this->buffer, this->request, [self](ErrorCode aError, size_t) {
      if (aError) {
        self->Close();
        return;
      }
      self->handler(self->request,
                    [self](HttpResponse&& aResponse) { self->Write(std::move(aResponse)); });
    });
  }

private:
  void Write(HttpResponse&& aResponse)
  {
    this->response = std::move(aResponse);
    this->response.version(11);
    this->response.keep_alive(this->request.keep_alive());
    this->response.prepare_payload();
    OmitForbiddenBody(this->response, this->request.method());
    auto self = this->shared_from_this();
    http::async_write(this->socket, this->response, [self](ErrorCode aError, size_t) {
      if (aError || !self->response.keep_alive()) {
        self->Close();
        return;
      }
      self->Read();
    });
  }

  void Close()
  {
    this->timer.Disarm();
    ErrorCode ignored; // The socket is discarded in any case.
    this->socket.close(ignored);
  }

  HttpServer::Handler handler;
  Tcp::socket socket;
  OneShotTimer timer;
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  HttpResponse response;
};

} // namespace

HttpServer::HttpServer(Options aOptions)
  : options(std::move(aOptions))
  , acceptor(ConnectionAcceptor::Options{
      .loop = this->options.loop,
      .endpoint = this->options.endpoint,
      .onConnection = [this](Tcp::socket aSocket) {
        std::make_shared<HttpServerSession>(
          this->options.handler, this->options.loop, std::move(aSocket))
          ->Read();
      } })
{
}

std::error_code
HttpServer::Start()
{
  return this->acceptor.Start();
}

} // namespace sapphirewind::engine
