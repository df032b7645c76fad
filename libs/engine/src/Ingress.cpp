#include "Ingress.h"

namespace sapphirewind::engine {

Ingress::Ingress(Options aOptions)
  : options(aOptions)
  , acceptor(ConnectionAcceptor::Options{
      .loop = aOptions.context.loop,
      .endpoint = aOptions.endpoint,
      .onConnection = [this](Tcp::socket aSocket) { this->OnConnection(std::move(aSocket)); },
      .mayAccept = [this] { return this->sessions.size() < this->options.maxSessions; } })
{
}

std::error_code
Ingress::Start()
{
  return this->acceptor.Start();
}

void
Ingress::OnConnection(Tcp::socket aSocket)
{
  auto session = std::make_shared<ClientSession>(*this, std::move(aSocket));
  this->sessions.insert(session);
  session->Start();
}

void
Ingress::BeginDraining()
{
  this->draining = true;
}

void
Ingress::StopAccepting()
{
  this->acceptor.Stop();
  std::vector<std::shared_ptr<ClientSession>> open(this->sessions.begin(), this->sessions.end());
  for (const auto& session : open) {
    session->CloseIfIdle();
  }
}

void
Ingress::CloseAll()
{
  std::vector<std::shared_ptr<ClientSession>> open(this->sessions.begin(), this->sessions.end());
  for (const auto& session : open) {
    session->Close();
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
  this->acceptor.Resume();
}

} // namespace sapphirewind::engine
