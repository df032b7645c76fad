#include <engine/StoreFollower.h>

#include <algorithm>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// Timeout of a call in addition to its wait; the store answers in milliseconds, and within a few
/// hundred when it is slow.
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(800);
/// Delay before the next call after a mirror failed, which goes to another source.
constexpr base::Duration kSourceSwitchDelay = std::chrono::milliseconds(10);
/// Delay between watches after a change, so that changes in quick succession are applied together.
constexpr base::Duration kWatchBatchDelay = std::chrono::milliseconds(500);
/// Backoff after a failed call: doubles with each consecutive failure up to the maximum, with
/// jitter.
constexpr base::Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr base::Duration kMaxBackoff = std::chrono::milliseconds(400);

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

} // namespace

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
  this->delayTimer.cancel();
  if (this->connection) {
    this->connection->Stop();
  }
}

void
StoreFollower::Relist()
{
  this->listing = true;
  this->listAfter.clear();
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
  this->listAfter.clear();
  this->connection = std::make_shared<StoreConnection>(
    StoreConnection::Options{ .loop = this->options.loop,
                              .endpoint = aSource.endpoint,
                              .host = FormatEndpoint(aSource.endpoint),
                              .metrics = this->options.metrics,
                              .toInstance = aSource.isMirror });
}

void
StoreFollower::Call()
{
  this->UseSource(this->options.chooseSource());
  StoreConnection::Call call{ .timeout = kCallTimeout };
  if (this->listing) {
    call.target = this->options.codec.listTarget(this->options.kind, this->listAfter);
  } else {
    call.target =
      this->options.codec.watchTarget(this->options.kind, this->revision, this->source.watchWait);
    call.timeout += this->source.watchWait;
  }
  this->connection->Make(std::move(call), [self = this->shared_from_this()](StoreAnswer&& aAnswer) {
    self->OnAnswer(std::move(aAnswer));
  });
}

void
StoreFollower::OnAnswer(StoreAnswer&& aAnswer)
{
  if (!aAnswer.response) {
    this->Fail(aAnswer.cause);
    return;
  }
  HttpResponse& response = *aAnswer.response;
  if (response.result() == http::status::gone && !this->listing) {
    telemetry::Log(
      telemetry::Event::StoreHistoryGone,
      { { "kind", static_cast<int>(this->options.kind) }, { "revision", this->revision } });
    this->listing = true;
    this->listAfter.clear();
    this->ScheduleCall(base::Duration(0));
    return;
  }
  if (response.result() != http::status::ok) {
    this->Fail("refused");
    return;
  }
  if (this->listing) {
    this->OnListPage(std::move(response));
  } else {
    this->OnChanges(std::move(response));
  }
}

void
StoreFollower::OnListPage(HttpResponse&& aResponse)
{
  std::optional<StorePage> page =
    this->options.codec.readList(this->options.kind, aResponse.body());
  if (!page) {
    this->Fail("malformed list");
    return;
  }
  this->Succeed();
  if (this->listAfter.empty()) {
    this->listed.clear();
    // The watch starts at the first page's revision, so it returns changes made between pages.
    this->listRevision = page->revision;
  }
  this->options.onPageBody(this->listAfter,
                           std::make_shared<std::string>(std::move(aResponse.body())));
  std::move(page->objects.begin(), page->objects.end(), std::back_inserter(this->listed));
  this->listAfter = page->continueAfter;
  if (!this->listAfter.empty()) {
    this->Call();
    return;
  }
  this->listing = false;
  this->revision = this->listRevision;
  this->options.onList(this->listed, this->listRevision);
  this->listed.clear();
  this->Call();
}

void
StoreFollower::OnChanges(HttpResponse&& aResponse)
{
  std::optional<StorePage> page =
    this->options.codec.readChanges(this->options.kind, aResponse.body());
  if (!page) {
    this->Fail("malformed changes");
    return;
  }
  this->Succeed();
  this->options.onChangesBody(page->revision,
                              ClassifyUpdate(page->objects),
                              std::make_shared<std::string>(std::move(aResponse.body())));
  this->revision = std::max(this->revision, page->revision);
  if (!page->objects.empty()) {
    this->options.onChanges(page->objects);
  }
  this->ScheduleCall(page->objects.empty() ? base::Duration(0) : kWatchBatchDelay);
}

void
StoreFollower::Fail(const char* aCause)
{
  this->listAfter.clear();
  if (this->source.isMirror) {
    this->options.onMirrorFailed(this->source);
    this->ScheduleCall(kSourceSwitchDelay);
    return;
  }
  ++this->consecutiveFailures;
  if (!this->lost) {
    this->lost = true;
    this->options.onLost(aCause);
  }
  unsigned doublings = std::min(this->consecutiveFailures - 1, 4U);
  base::Duration backoff = std::min<base::Duration>(kMinBackoff * (1U << doublings), kMaxBackoff);
  double jitter = 0.5 + base::UniformUnit(this->options.random);
  this->ScheduleCall(base::FromFractionalMillis(base::ToFractionalMillis(backoff) * jitter));
}

void
StoreFollower::Succeed()
{
  this->consecutiveFailures = 0;
  if (this->lost) {
    this->lost = false;
    this->options.onRecovered();
  }
}

void
StoreFollower::ScheduleCall(base::Duration aDelay)
{
  this->delayTimer.expires_after(aDelay);
  this->delayTimer.async_wait([self = this->shared_from_this()](ErrorCode aError) {
    if (!aError && !self->stopped) {
      self->Call();
    }
  });
}

} // namespace sapphirewind::engine
