#include <fakes/Relay.h>

#include <arpa/inet.h>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace sapphirewind::fakes {

namespace {

constexpr size_t kChunkBytes = 64 * 1024;
constexpr int kBacklog = 256;
constexpr base::Duration kHoldPollInterval = std::chrono::milliseconds(5);

sockaddr_in
AddressOf(const net::Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

void
SetNoDelay(int aSocket)
{
  int enable = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    ssize_t count = send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

/// Bytes in transit in one direction, each chunk with its delivery time.
struct Pipe
{
  struct Chunk
  {
    base::Instant due{};
    std::string bytes;
  };
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Chunk> chunks;
  bool endOfStream = false;
};

} // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
  void Accept();
  void HandleClient(int aClient);
  void Read(int aFrom, const std::shared_ptr<Pipe>& aPipe);
  void Write(int aTo, const std::shared_ptr<Pipe>& aPipe, const std::atomic<bool>& aHoldDirection);
  void RelayDirection(int aFrom, int aTo, const std::atomic<bool>& aHoldDirection);

  net::Endpoint listen;
  net::Endpoint target;
  int listener = -1;
  uint16_t port = 0;
  std::atomic<int64_t> delayMicros{ 0 };
  std::atomic<uint64_t> bytesRelayed{ 0 };
  std::atomic<bool> hold{ false };
  std::atomic<bool> holdAnswers{ false };
  std::atomic<bool> neverHold{ false };
  std::atomic<bool> cut{ false };
  std::atomic<bool> stopping{ false };
  std::mutex mutex;
  std::vector<int> openSockets;
  std::thread acceptor;
};

void
Relay::Impl::Read(int aFrom, const std::shared_ptr<Pipe>& aPipe)
{
  std::string buffer(kChunkBytes, '\0');
  ssize_t count = 0;
  while ((count = recv(aFrom, buffer.data(), buffer.size(), 0)) > 0) {
    this->bytesRelayed += static_cast<uint64_t>(count);
    std::lock_guard<std::mutex> lock(aPipe->mutex);
    aPipe->chunks.push_back(Pipe::Chunk{ .due = base::Now() + base::Duration(this->delayMicros),
                                         .bytes = buffer.substr(0, static_cast<size_t>(count)) });
    aPipe->changed.notify_one();
  }
  std::lock_guard<std::mutex> lock(aPipe->mutex);
  aPipe->endOfStream = true;
  aPipe->changed.notify_one();
}

void
Relay::Impl::Write(int aTo,
                   const std::shared_ptr<Pipe>& aPipe,
                   const std::atomic<bool>& aHoldDirection)
{
  while (true) {
    Pipe::Chunk chunk;
    {
      std::unique_lock<std::mutex> lock(aPipe->mutex);
      aPipe->changed.wait(lock, [&] { return !aPipe->chunks.empty() || aPipe->endOfStream; });
      if (aPipe->chunks.empty()) {
        break;
      }
      chunk = std::move(aPipe->chunks.front());
      aPipe->chunks.pop_front();
    }
    std::this_thread::sleep_until(chunk.due);
    while ((this->hold || aHoldDirection) && !this->cut) {
      std::this_thread::sleep_for(kHoldPollInterval);
    }
    if (!SendAll(aTo, chunk.bytes)) {
      break;
    }
  }
  shutdown(aTo, SHUT_WR);
}

void
Relay::Impl::RelayDirection(int aFrom, int aTo, const std::atomic<bool>& aHoldDirection)
{
  auto pipe = std::make_shared<Pipe>();
  std::thread writer(
    [this, aTo, pipe, &aHoldDirection] { this->Write(aTo, pipe, aHoldDirection); });
  this->Read(aFrom, pipe);
  writer.join();
}

void
Relay::Impl::HandleClient(int aClient)
{
  int server = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = AddressOf(this->target);
  bool connected = connect(server, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  if (connected && !this->cut) {
    SetNoDelay(server);
    SetNoDelay(aClient);
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->openSockets.push_back(aClient);
      this->openSockets.push_back(server);
    }
    std::thread responses(
      [this, server, aClient] { this->RelayDirection(server, aClient, this->holdAnswers); });
    this->RelayDirection(aClient, server, this->neverHold);
    responses.join();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::erase(this->openSockets, aClient);
    std::erase(this->openSockets, server);
  }
  close(server);
  close(aClient);
}

void
Relay::Impl::Accept()
{
  while (!this->stopping) {
    int client = accept(this->listener, nullptr, nullptr);
    if (client < 0) {
      return;
    }
    if (this->cut) {
      close(client);
      continue;
    }
    std::thread([self = this->shared_from_this(), client] { self->HandleClient(client); }).detach();
  }
}

Relay::Relay(net::Endpoint aListen, net::Endpoint aTarget)
  : impl(std::make_shared<Impl>())
{
  this->impl->listen = std::move(aListen);
  this->impl->target = std::move(aTarget);
}

Relay::~Relay()
{
  this->impl->stopping = true;
  this->SetCut(true);
  shutdown(this->impl->listener, SHUT_RDWR);
  close(this->impl->listener);
  if (this->impl->acceptor.joinable()) {
    this->impl->acceptor.join();
  }
}

std::error_code
Relay::Start()
{
  Impl& self = *this->impl;
  self.listener = socket(AF_INET, SOCK_STREAM, 0);
  int enable = 1;
  setsockopt(self.listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  sockaddr_in address = AddressOf(self.listen);
  bool bound = bind(self.listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  if (!bound || listen(self.listener, kBacklog) != 0) {
    return { errno, std::generic_category() };
  }
  socklen_t size = sizeof(address);
  getsockname(self.listener, reinterpret_cast<sockaddr*>(&address), &size);
  self.port = ntohs(address.sin_port);
  self.acceptor = std::thread([implementation = this->impl] { implementation->Accept(); });
  return {};
}

uint16_t
Relay::Port() const
{
  return this->impl->port;
}

uint64_t
Relay::BytesRelayed() const
{
  return this->impl->bytesRelayed;
}

void
Relay::SetDelay(base::Duration aDelay)
{
  this->impl->delayMicros = aDelay.count();
}

void
Relay::SetHold(bool aHold)
{
  this->impl->hold = aHold;
}

void
Relay::SetHoldAnswers(bool aHold)
{
  this->impl->holdAnswers = aHold;
}

void
Relay::SetCut(bool aCut)
{
  this->impl->cut = aCut;
  if (!aCut) {
    return;
  }
  std::lock_guard<std::mutex> lock(this->impl->mutex);
  for (int socket : this->impl->openSockets) {
    shutdown(socket, SHUT_RDWR);
  }
}

} // namespace sapphirewind::fakes
