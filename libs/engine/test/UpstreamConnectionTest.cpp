#include <boost/test/unit_test.hpp>
#include <engine/UpstreamConnection.h>
#include <thread>

using namespace sapphirewind;
using namespace sapphirewind::engine;
using namespace std::chrono_literals;

namespace {

/// A request for which a connection is opened while the loop is busy. The test runs the loop.
struct RequestDuringConnect
{
  RequestDuringConnect()
  {
    handedOn.reset();
    this->codec.writeUpstreamRequest = [](http::fields&, const UpstreamRequestMeta& aMeta) {
      handedOn = aMeta.remaining;
    };
  }

  /// Starts the exchange, keeps the loop busy, and runs it until the request is written or ends.
  void Exchange(base::Duration aTimeout)
  {
    auto message = std::make_shared<HttpRequest>(http::verb::get, "/", 11);
    message->set(http::field::host, "s");
    this->deadline = base::Now() + aTimeout;
    this->connection->Exchange({ .message = message, .id = "r", .deadline = this->deadline },
                               [this](ExchangeResult&& aResult) { this->result = aResult; });
    std::this_thread::sleep_for(kBusyTime);
    while (!handedOn && !this->result) {
      BOOST_REQUIRE(this->loop.run_one_for(30s) > 0);
    }
  }

  static constexpr base::Duration kBusyTime = 300ms;
  static inline std::optional<base::Duration> handedOn;
  Loop loop;
  WireCodec codec;
  Tcp::acceptor server{ this->loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  base::Instant deadline{};
  std::optional<ExchangeResult> result;
  std::shared_ptr<UpstreamConnection> connection = std::make_shared<UpstreamConnection>(
    UpstreamConnection::Options{ .loop = this->loop,
                                 .codec = this->codec,
                                 .endpoint = this->server.local_endpoint(),
                                 .connectTimeout = 1h,
                                 .onIdle = [](const std::shared_ptr<UpstreamConnection>&) {},
                                 .onClosed = [](const std::shared_ptr<UpstreamConnection>&) {},
                                 .onConnected = [](base::Duration) {} });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_whose_connection_opens_late, RequestDuringConnect)

// Guards against servers that work longer than callers wait.
BOOST_AUTO_TEST_CASE(names_the_time_that_is_left_when_it_is_written)
{
  this->Exchange(20s);
  BOOST_REQUIRE(handedOn.has_value());
  BOOST_TEST((*handedOn <= 20s - kBusyTime));
}

BOOST_AUTO_TEST_CASE(is_not_written_once_its_deadline_has_passed)
{
  this->Exchange(kBusyTime / 2);
  BOOST_TEST(!handedOn.has_value());
  BOOST_REQUIRE(this->result.has_value());
  BOOST_TEST((this->result->outcome == dispatch::AttemptOutcome::NotConnected));
}

BOOST_AUTO_TEST_SUITE_END()
