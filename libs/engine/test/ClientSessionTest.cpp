#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <engine/ClientSession.h>
#include <engine/LoopMonitor.h>
#include <thread>

using namespace sapphirewind;
using namespace sapphirewind::engine;
using namespace std::chrono_literals;

namespace {

/// An instance without a configuration yet. The test runs the loop itself, so that it decides which
/// events are queued together.
struct UnconfiguredHost : SessionHost
{
  UnconfiguredHost()
  {
    this->codec.readRequest = [](const http::fields&) { return RequestMeta{ .id = "r" }; };
    Tcp::acceptor acceptor(this->loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->caller.connect(acceptor.local_endpoint());
    this->session = std::make_shared<ClientSession>(*this, acceptor.accept());
    this->session->Start();
  }

  std::shared_ptr<const directory::RouteTable> Routes() const override { return nullptr; }
  bool IsUsable() const override { return false; }
  directory::CallerLimits Limits() const override
  {
    return { .headerTimeout = 60s, .idleTimeout = kIdleTimeout };
  }
  bool IsDraining() const override { return false; }
  base::Instant ReceivedAt(base::Instant aNow) const override { return aNow; }
  EngineContext& Context() override { return this->context; }
  void OnSessionClosed(const std::shared_ptr<ClientSession>&) override { this->closed = true; }

  static constexpr base::Duration kIdleTimeout = 200ms;

  Loop loop;
  WireCodec codec;
  Metrics metrics;
  UpstreamPool upstreams{ UpstreamPool::Options{ .loop = this->loop, .codec = this->codec } };
  CrashGuard crashGuard{ CrashGuard::Options{} };
  EngineContext context{ .loop = this->loop,
                         .codec = this->codec,
                         .upstreams = this->upstreams,
                         .random = base::ThreadRandom(),
                         .metrics = this->metrics,
                         .crashGuard = this->crashGuard };
  Tcp::socket caller{ this->loop };
  std::shared_ptr<ClientSession> session;
  bool closed = false;
};

/// An instance with one server, which reads requests and does not answer. Its loop is run by the
/// test.
struct BusyHost : SessionHost
{
  BusyHost()
  {
    this->codec.readRequest = [](const http::fields&) {
      return RequestMeta{ .id = "r", .timeout = kCallerTimeout };
    };
    this->codec.writeUpstreamRequest = [](http::fields&, const UpstreamRequestMeta& aMeta) {
      handedOn = aMeta.remaining;
    };
    handedOn.reset();
    directory::ServerTable table;
    directory::Upsert(
      table,
      { .id = "i", .service = "s", .address = FormatEndpoint(this->server.local_endpoint()) },
      1);
    this->upstreams.Update(table, this->routes.get(), base::Now());
    this->monitor.Start();
    this->loop.poll();
  }

  /// Connects a caller, sends its request, and then keeps the loop busy.
  base::Instant SendWhileBusy(Tcp::acceptor& aAcceptor)
  {
    this->caller.connect(aAcceptor.local_endpoint());
    base::Instant sentAt = base::Now();
    asio::write(this->caller, asio::buffer(std::string("GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::this_thread::sleep_for(kBusyTime);
    return sentAt;
  }

  void RunUntilHandedOn()
  {
    while (!handedOn) {
      BOOST_REQUIRE(this->loop.run_one_for(30s) > 0);
    }
  }

  std::shared_ptr<const directory::RouteTable> Routes() const override { return this->routes; }
  bool IsUsable() const override { return true; }
  directory::CallerLimits Limits() const override { return {}; }
  bool IsDraining() const override { return false; }
  base::Instant ReceivedAt(base::Instant aNow) const override
  {
    return this->monitor.ReceivedAt(aNow);
  }
  EngineContext& Context() override { return this->context; }
  void OnSessionClosed(const std::shared_ptr<ClientSession>&) override {}

  static constexpr base::Duration kCallerTimeout = 20s;
  static constexpr base::Duration kBusyTime = 900ms;
  static constexpr base::Duration kTickInterval = 100ms;
  /// What the platform allows a server's time to exceed the caller's by.
  static constexpr base::Duration kAllowedExcess = 500ms;
  static inline std::optional<base::Duration> handedOn;

  Loop loop;
  WireCodec codec;
  Metrics metrics;
  UpstreamPool upstreams{ UpstreamPool::Options{ .loop = this->loop, .codec = this->codec } };
  CrashGuard crashGuard{ CrashGuard::Options{} };
  EngineContext context{ .loop = this->loop,
                         .codec = this->codec,
                         .upstreams = this->upstreams,
                         .random = base::ThreadRandom(),
                         .metrics = this->metrics,
                         .crashGuard = this->crashGuard };
  LoopMonitor monitor{ LoopMonitor::Options{ .loop = this->loop,
                                             .interval = kTickInterval,
                                             .onTick = [](base::Instant, base::Duration) {} } };
  Tcp::acceptor server{ this->loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  std::shared_ptr<const directory::RouteTable> routes =
    std::make_shared<const directory::RouteTable>(
      directory::Configuration{ .version = 1,
                                .routes = { { .name = "p",
                                              .host = "h",
                                              .pathPrefix = "/p/",
                                              .timeout = 60s,
                                              .objective = 30s,
                                              .destinations = { { .service = "s" } } } },
                                .services = { { "s", { .name = "s", .maxConnections = 30 } } } });
  Tcp::socket caller{ this->loop };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_with_an_empty_chunked_body, UnconfiguredHost)

BOOST_AUTO_TEST_CASE(is_read_however_its_bytes_are_split)
{
  for (char byte : std::string("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "0\r\n\r\n")) {
    BOOST_TEST(!this->session->IsAwaitingConfiguration());
    asio::write(this->caller, asio::buffer(&byte, 1));
    this->loop.run_one();
  }
  BOOST_TEST(this->session->IsAwaitingConfiguration());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_request_that_arrives_as_the_idle_timeout_ends, UnconfiguredHost)

BOOST_AUTO_TEST_CASE(is_not_ended_by_that_timeout)
{
  this->loop.poll();
  asio::write(this->caller, asio::buffer(std::string("GET /p HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::this_thread::sleep_for(2 * kIdleTimeout);
  this->loop.poll();
  BOOST_TEST(this->caller.available() == 0U);
  BOOST_TEST(!this->closed);
  BOOST_TEST(this->session->IsAwaitingConfiguration());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_arrives_while_the_loop_is_busy)

BOOST_FIXTURE_TEST_CASE(is_handed_on_with_the_time_that_its_caller_has_left, BusyHost)
{
  Tcp::acceptor acceptor(this->loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::shared_ptr<ClientSession> session;
  acceptor.async_accept([&](ErrorCode, Tcp::socket aSocket) {
    session = std::make_shared<ClientSession>(*this, std::move(aSocket));
    session->Start();
  });
  base::Instant sentAt = this->SendWhileBusy(acceptor);
  base::Duration leftAtMost = kCallerTimeout - (base::Now() - sentAt);
  this->RunUntilHandedOn();
  BOOST_TEST((*handedOn <= leftAtMost + kAllowedExcess));
}

// Guards against a bound from a tick that became due after the bytes had arrived and is handled
// between the accept and the read.
BOOST_FIXTURE_TEST_CASE(counts_as_received_when_its_connection_was_accepted, BusyHost)
{
  Tcp::acceptor acceptor(this->loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::shared_ptr<ClientSession> session;
  acceptor.async_accept([&](ErrorCode, Tcp::socket aSocket) {
    session = std::make_shared<ClientSession>(*this, std::move(aSocket));
    session->Start();
  });
  base::Instant sentAt;
  // Handled just before the tick that is due at the same time.
  Timer busy(this->loop, base::Instant{});
  busy.async_wait([&](ErrorCode) { sentAt = this->SendWhileBusy(acceptor); });
  std::this_thread::sleep_for(2 * kTickInterval);
  this->RunUntilHandedOn();
  base::Duration leftAtMost = kCallerTimeout - (base::Now() - sentAt);
  BOOST_TEST((*handedOn <= leftAtMost + kAllowedExcess));
}

BOOST_AUTO_TEST_SUITE_END()
