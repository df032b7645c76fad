#include "Ingress.h"

namespace sapphirewind::engine {

Ingress::Ingress(Options aOptions)
  : options(aOptions)
  , acceptor(aOptions.context.loop)
{
}

std::error_code
Ingress::Start()
{
  ErrorCode error = Listen(this->acceptor, this->options.endpoint);
  if (!error) {
    this->Accept();
  }
  return error;
}

void
Ingress::Accept()
{
  if (this->accepting || !this->acceptor.is_open() ||
      this->sessions.size() >= this->options.maxSessions) {
    return;
  }
  this->accepting = true;
  this->acceptor.async_accept([this](ErrorCode aError, Tcp::socket aSocket) {
    this->accepting = false;
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      auto session = std::make_shared<ClientSession>(*this, std::move(aSocket));
      this->sessions.insert(session);
      session->Start();
    }
    this->Accept();
  });
}

void
Ingress::BeginDraining()
{
  this->draining = true;
}

void
Ingress::StopAccepting()
{
  ErrorCode ignored; // No connection is accepted even if closing fails.
  this->acceptor.close(ignored);
  std::vector<std::shared_ptr<ClientSession>> open(this->sessions.begin(), this->sessions.end());
  for (const auto& session : open) {
    session->CloseIfIdle();
  }
}

void
Ingress::OnConfiguration()
{
  std::vector<std::shared_ptr<ClientSession>> open(this->sessions.begin(), this->sessions.end());
  for (const auto& session : open) {
    session->OnConfiguration();
  }
}

std::shared_ptr<const directory::RouteTable>
Ingress::Routes() const
{
  return this->options.clusterState.Routes();
}

directory::CallerLimits
Ingress::Limits() const
{
  const auto& routes = this->options.clusterState.Routes();
  return routes ? routes->Current().limits : directory::CallerLimits{};
}

void
Ingress::OnSessionClosed(const std::shared_ptr<ClientSession>& aSession)
{
  this->sessions.erase(aSession);
  this->Accept();
}

} // namespace sapphirewind::engine
