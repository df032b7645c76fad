/// @file Listens at an address and accepts connections, all that wait at a time.
///
/// One accept a round of the event loop is not enough: on a busy machine a round takes a tenth of
/// a second, and after a fault dozens of connections, each with a request, wait at once.
#pragma once

#include <engine/Asio.h>
#include <functional>

namespace sapphirewind::engine {

class ConnectionAcceptor
{
public:
  struct Options
  {
    Loop& loop;
    Tcp::endpoint endpoint;
    std::function<void(Tcp::socket)> onConnection;
    /// Whether a further connection may be accepted; while not, the others wait in the backlog.
    std::function<bool()> mayAccept = [] { return true; };
  };

  explicit ConnectionAcceptor(Options aOptions);

  /// Errors: the address cannot be bound.
  std::error_code Start();

  /// Continues once mayAccept is true again.
  void Resume();

  void Stop();

  Tcp::endpoint LocalEndpoint() const { return this->acceptor.local_endpoint(); }

private:
  void AcceptWaiting();

  Options options;
  Tcp::acceptor acceptor;
  bool accepting = false;
};

} // namespace sapphirewind::engine
