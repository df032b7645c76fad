#include <engine/StoreFollower.h>

#include <algorithm>
#include <telemetry/Events.h>

namespace sapphirewind::engine {

namespace {

/// A call that is not a watch; the store answers in milliseconds and slowly in a few hundred.
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1000);
/// How long a watch may wait. Short against the few seconds within which a leaving server must get
/// no more requests, so that a silent connection is noticed in time.
constexpr base::Duration kWatchWait = std::chrono::milliseconds(2000);
/// Changes that come in quick succession are taken in together after this pause.
constexpr base::Duration kWatchPause = std::chrono::milliseconds(60);
/// The pause after a failed call, doubled with each further one up to the longest, with jitter.
constexpr base::Duration kFirstRetry = std::chrono::milliseconds(100);
constexpr base::Duration kLongestRetry = std::chrono::milliseconds(400);
constexpr uint64_t kMostAnswerBytes = 16 * 1024 * 1024;

} // namespace

StoreFollower::StoreFollower(Options aOptions)
  : options(std::move(aOptions))
  , socket(this->options.loop)
  , callTimer(this->options.loop)
  , pauseTimer(this->options.loop)
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
  ++this->call;
  this->callTimer.cancel();
  this->pauseTimer.cancel();
  this->Disconnect();
}

void
StoreFollower::Call()
{
  if (this->listing) {
    this->Send(this->options.codec.listTarget(this->options.kind, this->listAfter), kCallTimeout);
    return;
  }
  this->Send(this->options.codec.watchTarget(this->options.kind, this->revision, kWatchWait),
             kWatchWait + kCallTimeout);
}

void
StoreFollower::Send(const std::string& aTarget, base::Duration aTimeout)
{
  uint64_t number = ++this->call;
  this->options.metrics.Count(Counter::StoreCall);
  auto self = this->shared_from_this();
  this->callTimer.expires_after(aTimeout);
  this->callTimer.async_wait([self, number](ErrorCode aError) {
    if (!aError && number == self->call) {
      self->Fail("timeout");
    }
  });
  if (this->connected) {
    this->SendOnConnection(aTarget, number);
    return;
  }
  this->socket = Tcp::socket(this->options.loop);
  this->socket.async_connect(this->options.endpoint, [self, number, aTarget](ErrorCode aError) {
    if (number != self->call) {
      return;
    }
    if (aError) {
      self->Fail("cannot connect");
      return;
    }
    ErrorCode ignored; // Without the option the connection works, only slower.
    self->socket.set_option(Tcp::no_delay(true), ignored);
    self->connected = true;
    self->SendOnConnection(aTarget, number);
  });
}

void
StoreFollower::SendOnConnection(const std::string& aTarget, uint64_t aCall)
{
  auto self = this->shared_from_this();
  this->request =
    std::make_shared<http::request<http::empty_body>>(http::verb::get, aTarget, 11);
  this->request->set(http::field::host, this->options.host);
  this->parser.emplace();
  this->parser->body_limit(kMostAnswerBytes);
  http::async_write(
    this->socket, *this->request, [self, aCall, sent = this->request](ErrorCode aError, size_t) {
      if (aCall != self->call) {
        return;
      }
      if (aError) {
        self->Fail("write failed");
        return;
      }
      http::async_read(
        self->socket, self->buffer, *self->parser, [self, aCall](ErrorCode aReadError, size_t) {
          if (aCall != self->call) {
            return;
          }
          if (aReadError) {
            self->Fail("no whole answer");
            return;
          }
          self->OnAnswer(self->parser->release());
        });
    });
}

void
StoreFollower::OnAnswer(const HttpResponse& aResponse)
{
  this->callTimer.cancel();
  if (!aResponse.keep_alive()) {
    this->Disconnect();
  }
  if (aResponse.result() == http::status::gone && !this->listing) {
    telemetry::Log(telemetry::Event::StoreHistoryGone,
                   { { "kind", std::to_string(static_cast<int>(this->options.kind)) },
                     { "revision", std::to_string(this->revision) } });
    this->listing = true;
    this->listAfter.clear();
    this->CallAfter(base::Duration(0));
    return;
  }
  if (aResponse.result() != http::status::ok) {
    this->Fail("refused");
    return;
  }
  if (this->listing) {
    this->OnListPage(aResponse);
  } else {
    this->OnChanges(aResponse);
  }
}

void
StoreFollower::OnListPage(const HttpResponse& aResponse)
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
    // Changes between the pages are seen by the watch, which starts before them.
    this->listRevision = page->revision;
  }
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
StoreFollower::OnChanges(const HttpResponse& aResponse)
{
  std::optional<StorePage> page =
    this->options.codec.readChanges(this->options.kind, aResponse.body());
  if (!page) {
    this->Fail("malformed changes");
    return;
  }
  this->Succeed();
  this->revision = std::max(this->revision, page->revision);
  if (!page->objects.empty()) {
    this->options.onChanges(page->objects);
  }
  this->CallAfter(page->objects.empty() ? base::Duration(0) : kWatchPause);
}

void
StoreFollower::Fail(const char* aCause)
{
  ++this->call;
  this->callTimer.cancel();
  this->options.metrics.Count(Counter::StoreCallFailed);
  this->Disconnect();
  this->listAfter.clear();
  ++this->failuresInRow;
  if (!this->lost) {
    this->lost = true;
    this->options.onLost(aCause);
  }
  unsigned doublings = std::min(this->failuresInRow - 1, 4U);
  base::Duration pause = std::min<base::Duration>(kFirstRetry * (1U << doublings), kLongestRetry);
  double jitter = 0.5 + base::UniformUnit(this->options.random);
  this->CallAfter(base::FromFractionalMillis(base::ToFractionalMillis(pause) * jitter));
}

void
StoreFollower::Succeed()
{
  this->failuresInRow = 0;
  if (this->lost) {
    this->lost = false;
    this->options.onReturned();
  }
}

void
StoreFollower::CallAfter(base::Duration aDelay)
{
  this->pauseTimer.expires_after(aDelay);
  this->pauseTimer.async_wait([self = this->shared_from_this()](ErrorCode aError) {
    if (!aError && !self->stopped) {
      self->Call();
    }
  });
}

void
StoreFollower::Disconnect()
{
  this->connected = false;
  this->buffer.consume(this->buffer.size());
  ErrorCode ignored; // The connection is of no use either way.
  this->socket.close(ignored);
}

} // namespace sapphirewind::engine
