#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <engine/ClientSession.h>
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
