#include "InstanceRegistration.h"

#include <algorithm>
#include <array>
#include <telemetry/Events.h>

#include "EraObserver.h"

namespace sapphirewind::engine {

namespace {

/// The store answers in milliseconds; the next heartbeat makes up for a lost one.
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1000);
/// Times since a first start at which the instances are listed, while they register.
constexpr std::array<base::Duration, 3> kFirstLists = { std::chrono::milliseconds(1600),
                                                        std::chrono::milliseconds(4000),
                                                        std::chrono::milliseconds(8000) };
/// Delay after a failed call.
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(1000);

} // namespace

InstanceRegistration::InstanceRegistration(Options aOptions)
  : options(std::move(aOptions))
  , connection(std::make_shared<StoreConnection>(this->options.connection))
  , timer(this->options.loop)
  , heartbeat(static_cast<uint64_t>(base::WallClockMillis()))
{
}

void
InstanceRegistration::Start()
{
  this->startedAt = base::Now();
  if (this->options.firstStart) {
    this->Create();
  } else {
    this->SendHeartbeat();
  }
}

void
InstanceRegistration::Stop()
{
  this->timer.Disarm();
  this->connection->Stop();
}

void
InstanceRegistration::Make(StoreConnection::Call aCall,
                           void (InstanceRegistration::*aNext)(StoreAnswer&&))
{
  aCall.timeout = kCallTimeout;
  this->connection->Make(std::move(aCall),
                         [self = this->shared_from_this(), aNext](StoreAnswer&& aAnswer) {
                           self->OnAnswer(std::move(aAnswer), aNext);
                         });
}

void
InstanceRegistration::OnAnswer(StoreAnswer&& aAnswer,
                               void (InstanceRegistration::*aNext)(StoreAnswer&&))
{
  directory::EraChange change = directory::EraChange::Same;
  if (aAnswer.response) {
    change =
      this->options.eras.Observe(*aAnswer.response, this->options.connection.host, "registration");
  }
  if (change == directory::EraChange::Earlier) {
    this->Fail("registration", StoreAnswer{ .cause = "earlier era" });
  } else if (change == directory::EraChange::Same) {
    (this->*aNext)(std::move(aAnswer));
  }
  // OnNewEra has scheduled the next call.
}

void
InstanceRegistration::OnNewEra()
{
  this->connection->Stop();
  this->expired.clear();
  directory::OnStoreReturned(this->tracker, base::Now());
  base::Duration spread = directory::RewriteSpread(this->tracker.heartbeats.size());
  double delay = base::UniformUnit(this->options.random) * base::ToFractionalMillis(spread);
  this->timer.Arm(base::FromFractionalMillis(delay),
                  [self = this->shared_from_this()] { self->SendHeartbeat(); });
}

void
InstanceRegistration::SendHeartbeat()
{
  ++this->heartbeat;
  this->Make({ .method = http::verb::put,
               .target = this->options.codec.instanceTarget(this->options.entry.name),
               .body = this->options.codec.writeInstance(this->options.entry, this->heartbeat) },
             &InstanceRegistration::OnHeartbeatAnswered);
}

void
InstanceRegistration::OnHeartbeatAnswered(StoreAnswer&& aAnswer)
{
  bool missing = aAnswer.response && aAnswer.response->result() == http::status::not_found;
  if (missing) {
    this->Create();
    return;
  }
  if (!aAnswer.response || aAnswer.response->result_int() >= 300) {
    this->Fail("beat", aAnswer);
    return;
  }
  this->heartbeatAt = base::Now();
  this->List();
}

void
InstanceRegistration::Create()
{
  this->Make({ .method = http::verb::post,
               .target = this->options.codec.instanceTarget(""),
               .body = this->options.codec.writeInstance(this->options.entry, this->heartbeat) },
             &InstanceRegistration::OnCreated);
}

void
InstanceRegistration::OnCreated(StoreAnswer&& aAnswer)
{
  bool exists = aAnswer.response && aAnswer.response->result() == http::status::conflict;
  if (exists) {
    this->SendHeartbeat();
    return;
  }
  if (!aAnswer.response || aAnswer.response->result_int() >= 300) {
    this->Fail("create", aAnswer);
    return;
  }
  this->heartbeatAt = base::Now();
  if (this->options.firstStart && this->lists == 0) {
    this->ScheduleNext();
  } else {
    this->List();
  }
}

void
InstanceRegistration::List(const std::string& aAfter)
{
  this->Make({ .target = this->options.codec.instancesTarget(aAfter), .kind = Counter::StoreList },
             &InstanceRegistration::OnListed);
}

void
InstanceRegistration::OnListed(StoreAnswer&& aAnswer)
{
  if (!aAnswer.response || aAnswer.response->result() != http::status::ok) {
    this->Fail("list", aAnswer);
    return;
  }
  this->OnPage(*aAnswer.response);
}

void
InstanceRegistration::OnPage(const HttpResponse& aResponse)
{
  std::optional<InstancePage> page =
    this->options.codec.readInstances(aResponse.body(), this->options.eras.Current());
  if (!page) {
    this->Fail("list", StoreAnswer{ .cause = "malformed" });
    return;
  }
  base::Instant now = base::Now();
  for (const directory::InstanceEntry& entry : page->entries) {
    directory::RecordHeartbeat(this->tracker, entry, now);
  }
  if (page->continueAfter.empty()) {
    this->OnListComplete();
  } else {
    this->List(page->continueAfter);
  }
}

void
InstanceRegistration::OnListComplete()
{
  ++this->lists;
  directory::RecordList(this->tracker, base::Now());
  this->options.onInstancesListed(this->tracker);
  this->expired = directory::ExtractExpired(this->tracker, base::Now());
  this->RemoveExpired();
}

void
InstanceRegistration::RemoveExpired()
{
  if (this->expired.empty()) {
    this->ScheduleNext();
    return;
  }
  std::string name = this->expired.back();
  this->expired.pop_back();
  this->Make({ .method = http::verb::delete_, .target = this->options.codec.instanceTarget(name) },
             &InstanceRegistration::OnRemoved);
}

void
InstanceRegistration::OnRemoved(StoreAnswer&& aAnswer)
{
  if (!aAnswer.response) {
    this->Fail("remove", aAnswer);
    return;
  }
  http::status status = aAnswer.response->result();
  // Another instance may have removed the entry first.
  bool isGone = status == http::status::ok || status == http::status::no_content ||
                status == http::status::not_found;
  if (!isGone) {
    this->Fail("remove", aAnswer);
    return;
  }
  this->RemoveExpired();
}

void
InstanceRegistration::Fail(const char* aCallName, const StoreAnswer& aAnswer)
{
  std::string status =
    aAnswer.response ? std::to_string(aAnswer.response->result_int()) : aAnswer.cause;
  telemetry::Log(telemetry::Event::RegistrationFailed,
                 { { "call", aCallName }, { "why", status } });
  this->Schedule(this->Jittered(kRetryDelay));
}

void
InstanceRegistration::ScheduleNext()
{
  base::Instant now = base::Now();
  if (this->options.firstStart && this->lists < kFirstLists.size()) {
    base::Instant due = this->startedAt + kFirstLists[this->lists];
    this->Schedule(std::max(base::Duration(0), due - now));
    return;
  }
  this->Schedule(this->Jittered(directory::ListInterval(this->tracker.heartbeats.size())));
}

base::Duration
InstanceRegistration::Jittered(base::Duration aInterval)
{
  double factor = 0.75 + 0.5 * base::UniformUnit(this->options.random);
  return base::FromFractionalMillis(base::ToFractionalMillis(aInterval) * factor);
}

void
InstanceRegistration::Schedule(base::Duration aDelay)
{
  this->timer.Arm(aDelay, [self = this->shared_from_this()] { self->RunNext(); });
}

void
InstanceRegistration::RunNext()
{
  // Lists come at least as often as heartbeats, so the interval is met to within one of theirs.
  base::Duration interval = directory::HeartbeatInterval(this->tracker.heartbeats.size());
  base::Duration tolerance = directory::kMinListInterval / 2;
  if (base::Now() - this->heartbeatAt >= interval - tolerance) {
    this->SendHeartbeat();
  } else {
    this->List();
  }
}

} // namespace sapphirewind::engine
