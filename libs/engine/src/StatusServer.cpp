#include <engine/StatusServer.h>

namespace sapphirewind::engine {

namespace {

/// A connection without a request for this long is closed; the balancer asks once a second.
constexpr base::Duration kIdleTimeout = std::chrono::seconds(10);

/// One connection; requests are answered in turn.
class StatusSession : public std::enable_shared_from_this<StatusSession>
{
public:
  StatusSession(const StatusServer::Options& aOptions, Tcp::socket aSocket)
    : options(aOptions)
    , socket(std::move(aSocket))
    , timer(aOptions.loop)
  {
  }

  void Read()
  {
    auto self = this->shared_from_this();
    this->timer.expires_after(kIdleTimeout);
    this->timer.async_wait([self](ErrorCode aError) {
      if (!aError) {
        self->Close();
      }
    });
    this->request = {};
    http::async_read(this->socket, this->buffer, this->request, [self](ErrorCode aError, size_t) {
      if (aError) {
        self->Close();
        return;
      }
      self->Answer();
    });
  }

private:
  void Answer()
  {
    this->response = HttpResponse(http::status::ok, 11);
    this->response.keep_alive(this->request.keep_alive());
    if (this->request.target() == "/metrics") {
      this->response.set(http::field::content_type, "text/plain; version=0.0.4");
      this->response.body() = this->options.metrics.Write();
    } else if (this->request.target() == "/ready") {
      bool ready = this->options.isReady();
      this->response.result(ready ? http::status::ok : http::status::service_unavailable);
      this->response.body() = ready ? "ready\n" : "not ready\n";
    } else {
      this->response.result(http::status::not_found);
    }
    this->response.prepare_payload();
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
    this->timer.cancel();
    ErrorCode ignored; // The connection is of no use either way.
    this->socket.close(ignored);
  }

  const StatusServer::Options& options;
  Tcp::socket socket;
  Timer timer;
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  HttpResponse response;
};

} // namespace

StatusServer::StatusServer(Options aOptions)
  : options(std::move(aOptions))
  , acceptor(this->options.loop)
{
}

std::error_code
StatusServer::Start()
{
  ErrorCode error = Listen(this->acceptor, this->options.endpoint);
  if (!error) {
    this->Accept();
  }
  return error;
}

void
StatusServer::Stop()
{
  ErrorCode ignored; // The process ends next.
  this->acceptor.close(ignored);
}

void
StatusServer::Accept()
{
  this->acceptor.async_accept([this](ErrorCode aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      std::make_shared<StatusSession>(this->options, std::move(aSocket))->Read();
    }
    this->Accept();
  });
}

} // namespace sapphirewind::engine
