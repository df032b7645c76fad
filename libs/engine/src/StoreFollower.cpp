#include <engine/StoreFollower.h>

#include <algorithm>
#include <charconv>
#include <telemetry/Events.h>
#include <utility>

#include "EraObserver.h"
#include "MirrorServer.h"

namespace sapphirewind::engine {

namespace {

/// Timeout of a call in addition to its wait; the store answers in milliseconds, and within a few
/// hundred when it is slow.
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(800);
/// Wait of the watch after a failed call: answered at once, and never waiting when watches are cut
/// off.
constexpr base::Duration kPromptWait = std::chrono::milliseconds(1);
/// Delay before the next call after a mirror failed, which goes to another source.
constexpr base::Duration kSourceSwitchDelay = std::chrono::milliseconds(10);
/// Delay between watches of the store after a change, so that changes in quick succession are read
/// together. At a mirror, whose answers are free, they are relayed at once.
constexpr base::Duration kWatchBatchDelay = std::chrono::milliseconds(500);
/// Interval of asking for a source while there is none, with jitter.
constexpr base::Duration kSourcePollInterval = std::chrono::milliseconds(150);
/// Backoff after a failed call: doubles with each consecutive failure up to the maximum, with
/// jitter.
constexpr base::Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr base::Duration kMaxBackoff = std::chrono::milliseconds(400);

/// The instances that follow the store list it within this time after it has returned from an older
/// copy: a few of each region.
constexpr base::Duration kNewEraSpread = std::chrono::milliseconds(200);

/// The configuration is a single object, so its latest change is the full state.
MirroredUpdate
ClassifyUpdate(const std::vector<StoredObject>& aObjects)
{
  bool hasConfiguration = std::any_of(aObjects.begin(), aObjects.end(), [](const auto& aObject) {
    return aObject.configuration.has_value();
  });
  if (hasConfiguration) {
    return MirroredUpdate::FullState;
  }
  return aObjects.empty() ? MirroredUpdate::None : MirroredUpdate::Changes;
}

/// The configuration is a single object, so changes before the newest one do not matter.
ChangeScope
ScopeOf(StoreKind aKind)
{
  return aKind == StoreKind::Configuration ? ChangeScope::NewestUsable : ChangeScope::All;
}

/// When the store made an answer that a mirror may have relayed.
base::Instant
AnsweredAt(const HttpResponse& aResponse, base::Instant aNow)
{
  auto text = aResponse[kDataAgeHeader];
  int64_t ageMs = 0;
  std::from_chars(text.data(), text.data() + text.size(), ageMs);
  return aNow - std::chrono::milliseconds(std::max<int64_t>(0, ageMs));
}

/// The body of an answer, which a mirror may have compressed; null if it is damaged.
std::shared_ptr<const RelayedBody>
TakeBody(HttpResponse& aResponse)
{
  if (aResponse[http::field::content_encoding] == kGzip) {
    return RelayedBody::FromCompressed(std::move(aResponse.body()));
  }
  return std::make_shared<RelayedBody>(std::move(aResponse.body()));
}

} // namespace

const char*
NameOf(StoreKind aKind)
{
  return aKind == StoreKind::Servers ? "servers" : "configuration";
}

StoreFollower::StoreFollower(Options aOptions)
  : options(std::move(aOptions))
  , delayTimer(this->options.loop)
{
}

void
StoreFollower::Start()
{
  this->Call();
}

void
StoreFollower::Stop()
{
  this->stopped = true;
  this->delayTimer.Disarm();
  if (this->connection) {
    this->connection->Stop();
  }
}

void
StoreFollower::Relist()
{
  this->listing = true;
  this->RestartList();
}

void
StoreFollower::OnNewEra()
{
  if (this->stopped) {
    return;
  }
  if (this->connection) {
    this->connection->Stop();
  }
  this->Relist();
  this->mayListOld = false;
  double delay = this->source.isMirror ? 0.0 : base::UniformUnit(this->options.random);
  this->ScheduleCall(base::FromFractionalMillis(delay * base::ToFractionalMillis(kNewEraSpread)));
}

void
StoreFollower::RestartList()
{
  this->listAfter.clear();
}

void
StoreFollower::OnSourcesChanged()
{
  if (this->awaitsSource && !this->stopped) {
    this->ScheduleCall(base::Duration(0));
  }
}

void
StoreFollower::UseSource(const StoreSource& aSource)
{
  bool isSame = this->connection && this->source.endpoint == aSource.endpoint;
  this->source = aSource;
  if (isSame) {
    return;
  }
  if (this->connection) {
    this->connection->Stop();
  }
  // A list cannot be continued at a different source.
  this->RestartList();
  this->connection = std::make_shared<StoreConnection>(
    StoreConnection::Options{ .loop = this->options.loop,
                              .endpoint = aSource.endpoint,
                              .host = FormatEndpoint(aSource.endpoint),
                              .metrics = this->options.metrics,
                              .toInstance = aSource.isMirror });
}

SourceUse
StoreFollower::NextUse() const
{
  if (!this->listing) {
    return SourceUse::Watch;
  }
  return this->hasListed ? SourceUse::Relist : SourceUse::FirstList;
}

void
StoreFollower::Call()
{
  SourceUse use = this->NextUse();
  std::optional<StoreSource> next = this->options.chooseSource(use);
  this->awaitsSource = !next;
  if (!next) {
    this->ScheduleCall(this->Jittered(kSourcePollInterval));
    return;
  }
  this->UseSource(*next);
  StoreConnection::Call call{ .timeout = kCallTimeout };
  if (this->source.isMirror) {
    call.fields = this->options.eras.Headers();
  }
  if (this->listing) {
    bool mayBeOld = use == SourceUse::FirstList && !this->source.isMirror && this->mayListOld;
    ListAge age = mayBeOld ? ListAge::MayBeOld : ListAge::Current;
    call.target = this->options.codec.listTarget(this->options.kind, this->listAfter, age);
    call.kind = Counter::StoreList;
  } else {
    base::Duration wait =
      directory::NeedsPromptAnswer(this->availability) ? kPromptWait : this->source.watchWait;
    call.target =
      this->options.codec.watchTarget(this->options.kind, this->position.revision, wait);
    call.timeout += wait;
    call.kind = Counter::StoreWatch;
  }
  this->connection->Make(std::move(call), [self = this->shared_from_this()](StoreAnswer&& aAnswer) {
    self->OnAnswer(std::move(aAnswer));
  });
}

void
StoreFollower::OnAnswer(StoreAnswer&& aAnswer)
{
  this->lastRead = { .bytes = aAnswer.received,
                     .took = aAnswer.took,
                     .status = aAnswer.response ? aAnswer.response->result_int() : 0 };
  if (!aAnswer.response) {
    this->Fail(aAnswer.cause, directory::MirrorFailure::Unreachable);
    return;
  }
  HttpResponse& response = *aAnswer.response;
  directory::EraChange change = this->options.eras.Observe(
    response, FormatEndpoint(this->source.endpoint), this->listing ? "list" : "watch");
  if (change == directory::EraChange::New) {
    // OnNewEra has scheduled the next call.
    return;
  }
  if (change == directory::EraChange::Earlier) {
    this->Fail("earlier era", directory::MirrorFailure::NotCurrent);
    return;
  }
  if (response.result() == http::status::gone && !this->listing) {
    telemetry::Log(telemetry::Event::StoreHistoryGone,
                   { { "kind", static_cast<int>(this->options.kind) },
                     { "revision", this->position.revision } });
    this->Relist();
    this->ScheduleCall(base::Duration(0));
    return;
  }
  if (response.result() == http::status::service_unavailable) {
    this->Fail("refused", directory::MirrorFailure::NotCurrent);
    return;
  }
  if (response.result() != http::status::ok) {
    this->Fail("refused", directory::MirrorFailure::Unreachable);
    return;
  }
  std::shared_ptr<const RelayedBody> body = TakeBody(response);
  if (!body) {
    this->Fail("malformed compression", directory::MirrorFailure::Unreachable);
    return;
  }
  base::Instant answeredAt = AnsweredAt(response, base::Now());
  if (this->listing) {
    this->OnListPage(body, answeredAt);
  } else {
    this->OnChanges(body, answeredAt);
  }
}

void
StoreFollower::OnListPage(const std::shared_ptr<const RelayedBody>& aBody,
                          base::Instant aAnsweredAt)
{
  base::Instant decodingSince = base::Now();
  std::optional<StorePage> page =
    this->options.codec.readList(this->options.kind, aBody->Text(), this->options.eras.Current());
  this->lastRead.decoding = base::Now() - decodingSince;
  if (!page) {
    this->Fail("malformed list", directory::MirrorFailure::Unreachable);
    return;
  }
  this->Succeed();
  if (this->listAfter.empty()) {
    this->listed.clear();
    this->listPosition = page->position;
  }
  // The watch starts at the oldest page's position, so it returns the changes that a page lacks.
  this->listPosition = std::min(this->listPosition, page->position);
  this->options.onPageBody(this->listAfter, aBody, aAnsweredAt);
  std::move(page->objects.begin(), page->objects.end(), std::back_inserter(this->listed));
  this->listAfter = page->continueAfter;
  if (!this->listAfter.empty()) {
    this->Call();
    return;
  }
  this->listing = false;
  this->hasListed = true;
  this->position = this->listPosition;
  this->options.onList(std::exchange(this->listed, {}), this->listPosition);
  this->Call();
}

void
StoreFollower::OnChanges(const std::shared_ptr<const RelayedBody>& aBody, base::Instant aAnsweredAt)
{
  base::Instant decodingSince = base::Now();
  std::optional<StorePage> page = this->options.codec.readChanges(
    this->options.kind, ScopeOf(this->options.kind), aBody->Text(), this->options.eras.Current());
  this->lastRead.decoding = base::Now() - decodingSince;
  if (!page) {
    this->Fail("malformed changes", directory::MirrorFailure::Unreachable);
    return;
  }
  this->Succeed();
  std::shared_ptr<const RelayedBody> relayed =
    page->shortened.empty() ? aBody : std::make_shared<RelayedBody>(std::move(page->shortened));
  this->options.onChangesBody(
    page->position, ClassifyUpdate(page->objects), std::move(relayed), aAnsweredAt);
  this->position = std::max(this->position, page->position);
  bool readsTogether = !page->objects.empty() && !this->source.isMirror;
  if (!page->objects.empty()) {
    this->options.onChanges(std::move(page->objects));
  }
  this->ScheduleCall(readsTogether ? kWatchBatchDelay : base::Duration(0));
}

void
StoreFollower::Fail(const char* aCause, directory::MirrorFailure aFailure)
{
  bool isRefusalOfMirror =
    this->source.isMirror && aFailure == directory::MirrorFailure::NotCurrent;
  if (!isRefusalOfMirror) {
    telemetry::Log(telemetry::Event::StoreCallFailed,
                   { { "follows", NameOf(this->options.kind) },
                     { "source", FormatEndpoint(this->source.endpoint) },
                     { "from_mirror", this->source.isMirror },
                     { "call", this->listing ? "list" : "watch" },
                     { "after", this->listAfter },
                     { "status", this->lastRead.status },
                     { "why", aCause },
                     { "received", this->lastRead.bytes },
                     { "took_ms", base::ToMillis(this->lastRead.took) } });
  }
  this->RestartList();
  this->options.onSourceFailed(this->source, aFailure);
  ++this->consecutiveFailures;
  directory::CallTarget target =
    this->source.isMirror ? directory::CallTarget::Mirror : directory::CallTarget::Store;
  if (directory::OnCallFailed(this->availability, target, base::Now())) {
    this->options.onLost(aCause);
  }
  if (this->source.isMirror) {
    this->ScheduleCall(kSourceSwitchDelay);
    return;
  }
  this->ScheduleCall(this->Backoff());
}

base::Duration
StoreFollower::Backoff()
{
  unsigned doublings = std::min(this->consecutiveFailures - 1, 4U);
  return this->Jittered(std::min<base::Duration>(kMinBackoff * (1U << doublings), kMaxBackoff));
}

base::Duration
StoreFollower::Jittered(base::Duration aDelay)
{
  double factor = 0.5 + base::UniformUnit(this->options.random);
  return base::FromFractionalMillis(base::ToFractionalMillis(aDelay) * factor);
}

void
StoreFollower::Succeed()
{
  this->consecutiveFailures = 0;
  this->options.onSourceAnswered(this->source);
  if (directory::OnCallAnswered(this->availability)) {
    this->options.onRecovered();
  }
}

void
StoreFollower::ScheduleCall(base::Duration aDelay)
{
  this->delayTimer.Arm(aDelay, [self = this->shared_from_this()] { self->Call(); });
}

} // namespace sapphirewind::engine
