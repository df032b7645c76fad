/// @file An HTTP server for fakes of external systems, with fault injection.
#pragma once

#include <engine/Asio.h>
#include <functional>
#include <set>
#include <thread>

namespace sapphirewind::fakes {

/// An event loop on its own thread, shared by fakes.
class LoopThread
{
public:
  LoopThread();
  ~LoopThread();

  engine::Loop& Get() { return this->loop; }

  /// Runs a function on the loop's thread and waits until it returns.
  void Run(const std::function<void()>& aFunction);

private:
  engine::Loop loop;
  boost::asio::executor_work_guard<engine::Loop::executor_type> work;
  std::thread thread;
};

/// The reply to one request and how it is delivered.
struct HttpReply
{
  enum class Delivery
  {
    KeepAlive,
    Close,    ///< Closes the connection after the response.
    Reset,    ///< Resets the connection without a response.
    Withhold, ///< Sends no response and keeps the connection open.
    Truncate  ///< Omits the second half of the body, then closes the connection.
  };

  engine::HttpResponse response;
  base::Duration delay{ 0 };
  Delivery delivery = Delivery::KeepAlive;
  /// Bytes sent after the response.
  std::string trailingBytes;
  /// Bytes sent in place of the response, unless empty.
  std::string rawBytes;
};

class HttpServer
{
public:
  using Respond = std::function<void(HttpReply)>;
  /// Called on the loop's thread; may respond asynchronously.
  using Handler = std::function<void(const engine::HttpRequest&, Respond)>;
  /// Called on the loop's thread when the client closes the connection before the response.
  using OnAbandoned = std::function<void(const engine::HttpRequest&)>;

  /// Listens on loopback; port 0 picks a free port.
  HttpServer(LoopThread& aLoop,
             uint16_t aPort,
             Handler aHandler,
             OnAbandoned aOnAbandoned = nullptr);
  ~HttpServer();

  uint16_t Port() const { return this->port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

  /// If true, closes all connections and refuses new ones, as after a process exit; if false,
  /// serves again. Must be called on the loop's thread.
  void SetDown(bool aDown);

private:
  class Session;

  void Listen();
  void ReservePort();
  void Accept();
  void ResetSessions();

  LoopThread& loop;
  Handler handler;
  OnAbandoned onAbandoned;
  std::shared_ptr<engine::Tcp::acceptor> acceptor;
  /// Reserves the port, without listening, while the server is down.
  std::shared_ptr<engine::Tcp::acceptor> portHolder;
  std::set<std::shared_ptr<Session>> sessions;
  uint16_t port;
  bool down = false;
};

} // namespace sapphirewind::fakes
