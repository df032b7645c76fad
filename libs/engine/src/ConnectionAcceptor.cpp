#include <engine/ConnectionAcceptor.h>

namespace sapphirewind::engine {

namespace {

/// Connections accepted in a row, so that other handlers get their turn.
constexpr int kMaxInRow = 64;

} // namespace

ConnectionAcceptor::ConnectionAcceptor(Options aOptions)
  : options(std::move(aOptions))
  , acceptor(this->options.loop)
{
}

std::error_code
ConnectionAcceptor::Start()
{
  ErrorCode error = Listen(this->acceptor, this->options.endpoint);
  if (!error) {
    this->acceptor.non_blocking(true, error);
  }
  if (!error) {
    this->Resume();
  }
  return error;
}

void
ConnectionAcceptor::Resume()
{
  if (this->accepting || !this->acceptor.is_open() || !this->options.mayAccept()) {
    return;
  }
  this->accepting = true;
  this->acceptor.async_accept([this](ErrorCode aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    this->accepting = false;
    if (!aError) {
      this->options.onConnection(std::move(aSocket));
      this->AcceptWaiting();
    }
    this->Resume();
  });
}

void
ConnectionAcceptor::AcceptWaiting()
{
  for (int count = 1; count < kMaxInRow && this->options.mayAccept(); ++count) {
    // An error, such as that nothing waits, is left to the next asynchronous accept.
    ErrorCode error;
    Tcp::socket socket = this->acceptor.accept(error);
    if (error) {
      return;
    }
    this->options.onConnection(std::move(socket));
  }
}

void
ConnectionAcceptor::Stop()
{
  ErrorCode ignored; // No connection is accepted even if closing fails.
  this->acceptor.close(ignored);
}

} // namespace sapphirewind::engine
