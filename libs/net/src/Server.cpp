#include <net/Server.h>

#include <atomic>
#include <cassert>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

namespace sapphirewind::net {

namespace {

/// True on the thread of a connection that exceeds the limit.
thread_local bool sOverLimit = false;

constexpr size_t kMaxKeepAliveRequests = 1'000'000'000;

/// Runs each connection on its own thread. With a fixed thread pool, idle keep-alive connections
/// would starve other connections.
class ThreadPerConnection final : public httplib::TaskQueue
{
public:
  ThreadPerConnection(size_t aLimit, std::atomic<size_t>& aOpen)
    : limit(aLimit)
    , open(aOpen)
  {
  }

  void enqueue(std::function<void()> aTask) override
  {
    size_t openConnections = this->open.fetch_add(1) + 1;
    bool overLimit = openConnections > this->limit;
    std::thread([this, overLimit, task = std::move(aTask)] {
      sOverLimit = overLimit;
      task();
      std::lock_guard<std::mutex> lock(this->mutex);
      this->open.fetch_sub(1);
      this->connectionClosed.notify_all();
    }).detach();
  }

  void shutdown() override
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->connectionClosed.wait(lock, [this] { return this->open.load() == 0; });
  }

private:
  const size_t limit;
  std::atomic<size_t>& open;
  std::mutex mutex;
  std::condition_variable connectionClosed;
};

Request
FromHttplib(const httplib::Request& aRequest)
{
  Request request;
  request.method = aRequest.method;
  request.path = aRequest.path;
  request.body = aRequest.body;
  for (const auto& [name, value] : aRequest.headers) {
    request.headers.push_back(Header{ .name = name, .value = value });
  }
  for (const auto& [name, value] : aRequest.params) {
    request.parameters.push_back(Header{ .name = name, .value = value });
  }
  return request;
}

void
ToHttplib(const Response& aResponse, httplib::Response& aOut)
{
  aOut.status = aResponse.status;
  for (const Header& header : aResponse.headers) {
    aOut.set_header(header.name, header.value);
  }
  aOut.set_content(aResponse.body, aResponse.contentType);
}

constexpr int kMaxDescriptorSearched = 4096;

/// Shuts down the connection between two ports. The library does not expose its sockets, so this
/// searches the descriptors; only fake servers use it, and rarely.
void
DropConnection(int aPeerPort, int aLocalPort)
{
  for (int descriptor = 3; descriptor < kMaxDescriptorSearched; ++descriptor) {
    sockaddr_in peer{};
    sockaddr_in local{};
    socklen_t peerSize = sizeof(peer);
    socklen_t localSize = sizeof(local);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peerSize) != 0 ||
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &localSize) != 0) {
      continue;
    }
    if (ntohs(peer.sin_port) == aPeerPort && ntohs(local.sin_port) == aLocalPort) {
      shutdown(descriptor, SHUT_RDWR);
      return;
    }
  }
}

httplib::Server::HandlerResponse
RejectConnection(httplib::Response& aOut)
{
  aOut.status = 503;
  aOut.set_header("Connection", "close");
  aOut.set_content(R"({"error":"connection_limit","run":false})", "application/json");
  return httplib::Server::HandlerResponse::Handled;
}

} // namespace

struct Server::Impl
{
  explicit Impl(ServerOptions aOptions)
    : options(std::move(aOptions))
  {
  }

  ServerOptions options;
  httplib::Server server;
  std::atomic<size_t> open{ 0 };
  std::atomic<bool> stopped{ false };
  std::function<void()> onRefused;
  std::thread listener;
  uint16_t port = 0;
};

Server::Server(ServerOptions aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
  httplib::Server& server = this->impl->server;
  Impl* self = this->impl.get();
  server.set_payload_max_length(self->options.maxBodyBytes);
  server.set_keep_alive_max_count(kMaxKeepAliveRequests);
  server.set_keep_alive_timeout(self->options.idleTimeout.count());
  server.set_tcp_nodelay(true);
  server.new_task_queue = [self] {
    return new ThreadPerConnection(self->options.maxConnections, self->open);
  };
  server.set_pre_routing_handler([self](const httplib::Request&, httplib::Response& aOut) {
    if (!sOverLimit) {
      return httplib::Server::HandlerResponse::Unhandled;
    }
    if (self->onRefused) {
      self->onRefused();
    }
    return RejectConnection(aOut);
  });
  server.set_exception_handler(
    [](const httplib::Request&, httplib::Response& aOut, std::exception_ptr) {
      aOut.status = 500;
      aOut.set_content(R"({"error":"internal","outcome":"unknown"})", "application/json");
    });
}

Server::~Server()
{
  this->Stop();
}

void
Server::Route(const std::string& aMethod, const std::string& aPathPattern, Handler aHandler)
{
  auto handle = [this, handler = std::move(aHandler)](const httplib::Request& aIn,
                                                      httplib::Response& aOut) {
    Response response = handler(FromHttplib(aIn));
    if (response.dropConnection) {
      DropConnection(aIn.remote_port, this->impl->port);
    }
    ToHttplib(response, aOut);
  };
  httplib::Server& server = this->impl->server;
  if (aMethod == "GET") {
    server.Get(aPathPattern, handle);
  } else if (aMethod == "POST") {
    server.Post(aPathPattern, handle);
  } else if (aMethod == "PUT") {
    server.Put(aPathPattern, handle);
  } else {
    assert(aMethod == "DELETE" && "unsupported HTTP method");
    server.Delete(aPathPattern, handle);
  }
}

void
Server::OnConnectionRefused(std::function<void()> aCallback)
{
  this->impl->onRefused = std::move(aCallback);
}

std::error_code
Server::Start()
{
  Impl& self = *this->impl;
  // With SO_REUSEPORT, the library's default, two processes could bind the same port without an
  // error.
  self.server.set_socket_options([](socket_t aSocket) {
    int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
  if (self.options.listen.port == 0) {
    int port = self.server.bind_to_any_port(self.options.listen.address);
    if (port < 0) {
      return Errc::CannotListen;
    }
    self.port = static_cast<uint16_t>(port);
  } else {
    if (!self.server.bind_to_port(self.options.listen.address, self.options.listen.port)) {
      return Errc::CannotListen;
    }
    self.port = self.options.listen.port;
  }
  self.listener = std::thread([&self] { self.server.listen_after_bind(); });
  while (!self.server.is_running()) {
    std::this_thread::yield();
  }
  return {};
}

uint16_t
Server::Port() const
{
  assert(this->impl->port != 0);
  return this->impl->port;
}

size_t
Server::OpenConnections() const
{
  return this->impl->open.load();
}

void
Server::StopListening()
{
  // The library's stop must not be called twice.
  if (!this->impl->stopped.exchange(true)) {
    this->impl->server.stop();
  }
}

void
Server::Stop()
{
  this->StopListening();
  if (this->impl->listener.joinable()) {
    this->impl->listener.join();
  }
}

} // namespace sapphirewind::net
