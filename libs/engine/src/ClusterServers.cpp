// The part of ClusterState that keeps the table of servers.
#include "ClusterState.h"

#include <telemetry/Events.h>

namespace sapphirewind::engine {

void
ClusterState::OnServerList(const std::vector<StoredObject>& aObjects,
                           const directory::StorePosition& aPosition)
{
  base::Instant now = base::Now();
  bool isFirstOfEra = this->servers.listedEra && *this->servers.listedEra < aPosition.era;
  std::vector<directory::ListedServer> listed;
  for (const StoredObject& object : aObjects) {
    if (object.server) {
      listed.push_back({ .server = *object.server, .position = object.position });
    } else {
      LogMalformed(object);
    }
  }
  this->options.context.upstreams.RecordSourceAnswer(now);
  directory::ReplaceAll(this->servers, listed, aPosition, now);
  if (isFirstOfEra) {
    this->LogReturn(now);
  }
  this->UpdateUpstreams();
}

void
ClusterState::LogReturn(base::Instant aNow)
{
  size_t kept = 0;
  for (const auto& [id, entry] : this->servers.entries) {
    kept += entry.expiresAt ? 1 : 0;
    this->LogKeptEntry(id, aNow);
  }
  for (const auto& [id, entry] : this->servers.unconfirmed) {
    telemetry::Log(
      telemetry::Event::ServerEntryUnconfirmed,
      { { "server", id },
        { "started_at_ms", entry.server.startedAtMs },
        { "why", "it was draining or gone before the store returned from an older copy" } });
  }
  telemetry::Log(telemetry::Event::ServersAfterReturn,
                 { { "era", this->eras.Current() },
                   { "in_use", this->servers.entries.size() - kept },
                   { "kept", kept },
                   { "unconfirmed", this->servers.unconfirmed.size() } });
}

void
ClusterState::LogKeptEntry(const std::string& aId, base::Instant aNow) const
{
  auto entry = this->servers.entries.find(aId);
  if (entry == this->servers.entries.end() || !entry->second.expiresAt) {
    return;
  }
  telemetry::Log(
    telemetry::Event::ServerEntryKept,
    { { "server", aId },
      { "for_ms", base::ToMillis(*entry->second.expiresAt - aNow) },
      { "store_back_ms", base::ToMillis(aNow - this->servers.recoveredAt.value_or(aNow)) } });
}

void
ClusterState::OnServerChanges(const std::vector<StoredObject>& aObjects)
{
  base::Instant now = base::Now();
  for (const StoredObject& object : aObjects) {
    if (object.removed) {
      directory::Remove(this->servers, object.name, object.position, now);
    } else if (object.server) {
      directory::Upsert(this->servers, *object.server, object.position, now);
    } else {
      LogMalformed(object);
      directory::Remove(this->servers, object.name, object.position, now);
    }
    bool isLeaving = object.removed || (object.server && object.server->draining);
    if (isLeaving) {
      telemetry::Log(telemetry::Event::ServerLeaving,
                     { { "server", object.name },
                       { "revision", object.position.revision },
                       { "why", object.removed ? "entry removed" : "server is draining" } });
      this->LogKeptEntry(object.name, now);
    }
  }
  this->UpdateUpstreams();
}

void
ClusterState::RunMaintenance(base::Instant aNow)
{
  std::vector<std::string> expired = directory::RemoveExpired(this->servers, aNow);
  for (const std::string& id : expired) {
    telemetry::Log(telemetry::Event::ServerEntryExpired, { { "server", id } });
  }
  std::vector<std::string> confirmed = directory::TakeConfirmed(this->servers, aNow);
  for (const std::string& id : confirmed) {
    telemetry::Log(telemetry::Event::ServerEntryConfirmed, { { "server", id } });
  }
  bool startupEnds = !this->startupOver && aNow >= this->startedAt + dispatch::kReducedSharePeriod;
  this->startupOver = this->startupOver || startupEnds;
  if (!expired.empty() || !confirmed.empty() || startupEnds) {
    this->UpdateUpstreams();
  }
  this->CheckUsable();
}

} // namespace sapphirewind::engine
