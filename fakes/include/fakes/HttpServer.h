/// @file An HTTP server for stand-ins of outside systems, with the faults that such systems show.
#pragma once

#include <engine/Asio.h>
#include <functional>
#include <set>
#include <thread>

namespace sapphirewind::fakes {

/// An event loop on a thread of its own, shared by stand-ins.
class LoopThread
{
public:
  LoopThread();
  ~LoopThread();

  engine::Loop& Get() { return this->loop; }

  /// Runs a function on the loop's thread and waits for it.
  void Run(const std::function<void()>& aFunction);

private:
  engine::Loop loop;
  boost::asio::executor_work_guard<engine::Loop::executor_type> work;
  std::thread thread;
};

/// What a stand-in does with one request.
struct HttpReply
{
  enum class Delivery
  {
    KeepAlive,
    Close,    ///< After the answer.
    Reset,    ///< In place of the answer.
    Withhold, ///< No answer, and the connection stays.
    Truncate  ///< Half of the answer, then a close.
  };

  engine::HttpResponse response;
  base::Duration delay{ 0 };
  Delivery delivery = Delivery::KeepAlive;
  /// Bytes that follow the answer.
  std::string extra;
  /// Bytes in place of the answer, if there are any.
  std::string raw;
};

class HttpServer
{
public:
  using Respond = std::function<void(HttpReply)>;
  /// Called on the loop's thread; may respond later.
  using Handler = std::function<void(const engine::HttpRequest&, Respond)>;
  /// Called on the loop's thread when the other side closes the connection before its answer.
  using OnAbandoned = std::function<void(const engine::HttpRequest&)>;

  /// Listens on loopback; port 0 takes a free one.
  HttpServer(LoopThread& aLoop,
             uint16_t aPort,
             Handler aHandler,
             OnAbandoned aOnAbandoned = nullptr);
  ~HttpServer();

  uint16_t Port() const { return this->port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

  /// Resets all connections and refuses new ones as a process does that ended, or serves again.
  /// Loop's thread.
  void SetDown(bool aDown);

private:
  class Session;

  void Listen();
  void HoldPort();
  void Accept();
  void ResetSessions();

  LoopThread& loop;
  Handler handler;
  OnAbandoned onAbandoned;
  std::unique_ptr<engine::Tcp::acceptor> acceptor;
  /// Keeps the port from others, without listening, while the server is down.
  std::unique_ptr<engine::Tcp::acceptor> holder;
  std::set<std::shared_ptr<Session>> sessions;
  uint16_t port;
  bool down = false;
};

} // namespace sapphirewind::fakes
