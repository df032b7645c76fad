// The part of ClusterState that chooses where this instance reads from.
#include "ClusterState.h"

#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// A watch at the store waits this fraction (1/n) of the time within which a draining server must
/// stop receiving requests, if others depend on it: a connection that has gone silent is noticed
/// after it.
constexpr int kMirrorWaitDivisor = 3;
/// How much longer a watch at a mirror waits than the mirror's at the store, whose answer it
/// relays.
constexpr base::Duration kRelaySlack = std::chrono::milliseconds(400);
/// On a first start, all instances register at once: an earlier list is incomplete, and by this
/// time they follow the store even without a list.
constexpr base::Duration kMinSettleTime = std::chrono::milliseconds(1500);
constexpr base::Duration kMaxSettleTime = std::chrono::milliseconds(3000);
/// An instance that has run out of mirrors goes to the store at the latest after this fraction
/// (1/n) of the time within which a draining server must stop receiving requests.
constexpr int kMaxStoreDelayDivisor = 8;

} // namespace

base::Duration
ClusterState::MirrorWait() const
{
  return this->options.drain / kMirrorWaitDivisor;
}

directory::SourceState&
ClusterState::SourcesOf(StoreKind aKind)
{
  return aKind == StoreKind::Servers ? this->serverSources : this->configurationSources;
}

StoreSource
ClusterState::StoreAsSource() const
{
  bool isDirect = this->planKnown && this->serverSources.plan.followsStore &&
                  this->serverSources.plan.candidates.empty();
  // Others wait for this instance's updates, or it waits for a mirror to be usable again.
  base::Duration wait =
    isDirect ? this->options.watchWait : std::min(this->options.watchWait, this->MirrorWait());
  return { .endpoint = *ParseEndpoint(this->options.storeAddress), .watchWait = wait };
}

std::optional<StoreSource>
ClusterState::ChooseSource(StoreKind aKind, SourceUse aUse)
{
  base::Instant now = base::Now();
  directory::SourceState& sources = this->SourcesOf(aKind);
  bool listsAtStore = aUse == SourceUse::FirstList && sources.storeFailuresInRow == 0;
  if (listsAtStore) {
    return this->StoreAsSource();
  }
  if (!this->planKnown) {
    bool mayUseStore = aUse != SourceUse::Watch || now - this->startedAt >= kMaxSettleTime;
    return mayUseStore ? std::optional(this->StoreAsSource()) : std::nullopt;
  }
  directory::SourceChoice choice =
    directory::ChooseSource(sources, this->options.drain / kMaxStoreDelayDivisor, now);
  if (choice.kind == directory::SourceChoice::Kind::Wait) {
    return std::nullopt;
  }
  if (choice.kind == directory::SourceChoice::Kind::Store) {
    return this->StoreAsSource();
  }
  std::optional<Tcp::endpoint> endpoint = ParseEndpoint(choice.mirror.address);
  if (!endpoint) {
    directory::OnMirrorFailed(
      sources, choice.mirror.address, directory::MirrorFailure::Unreachable, now);
    return std::nullopt;
  }
  return StoreSource{ .endpoint = *endpoint,
                      .isMirror = true,
                      .watchWait = this->MirrorWait() + kRelaySlack };
}

void
ClusterState::OnSourceFailed(StoreKind aKind,
                             const StoreSource& aSource,
                             directory::MirrorFailure aFailure)
{
  base::Instant now = base::Now();
  if (!aSource.isMirror) {
    directory::OnStoreFailed(this->SourcesOf(aKind), now);
    return;
  }
  std::string address = FormatEndpoint(aSource.endpoint);
  directory::OnMirrorFailed(this->SourcesOf(aKind), address, aFailure, now);
  telemetry::Log(
    telemetry::Event::MirrorFailed,
    { { "mirror", address },
      { "follows", NameOf(aKind) },
      { "why", aFailure == directory::MirrorFailure::NotCurrent ? "not current" : "no answer" } });
}

void
ClusterState::OnSourceAnswered(StoreKind aKind, const StoreSource& aSource)
{
  if (aSource.isMirror) {
    directory::OnMirrorAnswered(this->SourcesOf(aKind), FormatEndpoint(aSource.endpoint));
  } else {
    directory::OnStoreAnswered(this->SourcesOf(aKind));
  }
}

void
ClusterState::UpdatePlan(const directory::InstanceTracker& aTracker, base::Instant aNow)
{
  if (this->options.firstStart && aNow - this->startedAt < kMinSettleTime) {
    return;
  }
  directory::MirrorPlan plan =
    directory::PlanMirrors(aTracker, this->options.region, this->options.instance, aNow);
  this->configurationSources.plan = plan;
  this->serverSources.plan = std::move(plan);
  this->planKnown = true;
  this->configurationFollower->OnSourcesChanged();
  this->serverFollower->OnSourcesChanged();
}

} // namespace sapphirewind::engine
