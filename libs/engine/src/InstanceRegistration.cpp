#include "InstanceRegistration.h"

#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// The store answers in milliseconds; the next heartbeat makes up for a lost one.
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1000);
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
  this->SendHeartbeat();
}

void
InstanceRegistration::Stop()
{
  this->timer.cancel();
  this->connection->Stop();
}

void
InstanceRegistration::Make(StoreConnection::Call aCall,
                           void (InstanceRegistration::*aNext)(StoreAnswer&&))
{
  aCall.timeout = kCallTimeout;
  this->connection->Make(std::move(aCall),
                         [self = this->shared_from_this(), aNext](StoreAnswer&& aAnswer) {
                           ((*self).*aNext)(std::move(aAnswer));
                         });
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
  if (!aAnswer.response || aAnswer.response->result_int() >= 300) {
    this->Fail("create", aAnswer);
    return;
  }
  this->List();
}

void
InstanceRegistration::List()
{
  this->Make({ .target = this->options.codec.instancesTarget() }, &InstanceRegistration::OnListed);
}

void
InstanceRegistration::OnListed(StoreAnswer&& aAnswer)
{
  if (!aAnswer.response || aAnswer.response->result() != http::status::ok) {
    this->Fail("list", aAnswer);
    return;
  }
  this->OnList(*aAnswer.response);
}

void
InstanceRegistration::OnList(const HttpResponse& aResponse)
{
  auto instances = this->options.codec.readInstances(aResponse.body());
  if (!instances) {
    this->Fail("list", StoreAnswer{ .cause = "malformed" });
    return;
  }
  base::Instant now = base::Now();
  for (const directory::InstanceEntry& entry : *instances) {
    directory::RecordHeartbeat(this->tracker, entry, now);
  }
  this->options.onInstancesListed(this->tracker);
  this->expired = directory::ExtractExpired(this->tracker, now);
  this->RemoveExpired();
}

void
InstanceRegistration::RemoveExpired()
{
  if (this->expired.empty()) {
    this->ScheduleHeartbeat(directory::HeartbeatInterval(this->tracker.heartbeats.size()));
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
  // An error status is ignored: another instance may have removed the entry first.
  this->RemoveExpired();
}

void
InstanceRegistration::Fail(const char* aCallName, const StoreAnswer& aAnswer)
{
  std::string status =
    aAnswer.response ? std::to_string(aAnswer.response->result_int()) : aAnswer.cause;
  telemetry::Log(telemetry::Event::RegistrationFailed,
                 { { "call", aCallName }, { "why", status } });
  this->ScheduleHeartbeat(kRetryDelay);
}

void
InstanceRegistration::ScheduleHeartbeat(base::Duration aDelay)
{
  double jitter = 0.75 + 0.5 * base::UniformUnit(this->options.random);
  this->timer.expires_after(base::FromFractionalMillis(base::ToFractionalMillis(aDelay) * jitter));
  this->timer.async_wait([self = this->shared_from_this()](ErrorCode aError) {
    if (!aError) {
      self->SendHeartbeat();
    }
  });
}

} // namespace sapphirewind::engine
