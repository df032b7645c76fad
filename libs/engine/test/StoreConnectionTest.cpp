#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <engine/StoreConnection.h>

using namespace sapphirewind;
using namespace sapphirewind::engine;
using namespace std::chrono_literals;

namespace {

/// A call to a store that sends part of a large answer and then nothing more.
struct InterruptedAnswer
{
  InterruptedAnswer()
  {
    this->acceptor.async_accept([this](ErrorCode, Tcp::socket aSocket) {
      this->store = std::move(aSocket);
      asio::async_write(this->store, asio::buffer(this->part), [](ErrorCode, size_t) {});
    });
    this->connection->Make({ .target = "/", .timeout = 1h },
                           [this](StoreAnswer&& aAnswer) { this->answer = std::move(aAnswer); });
    while (!this->answer) {
      BOOST_REQUIRE(this->loop.run_one_for(30s) > 0);
    }
  }

  static constexpr size_t kSent = 600'000;
  const std::string part =
    "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(kSent, 'x');
  Loop loop;
  Metrics metrics;
  Tcp::acceptor acceptor{ this->loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  Tcp::socket store{ this->loop };
  std::optional<StoreAnswer> answer;
  std::shared_ptr<StoreConnection> connection = std::make_shared<StoreConnection>(
    StoreConnection::Options{ .loop = this->loop,
                              .endpoint = this->acceptor.local_endpoint(),
                              .host = "store",
                              .metrics = this->metrics });
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_call_to_the_store)

// Guards against a follower that learns nothing new while it waits for the rest of an answer.
BOOST_FIXTURE_TEST_CASE(ends_when_its_answer_stops_arriving, InterruptedAnswer)
{
  BOOST_TEST(!this->answer->response.has_value());
  BOOST_TEST(std::string(this->answer->cause) == "answer stopped");
  BOOST_TEST(this->answer->received >= kSent);
}

BOOST_AUTO_TEST_SUITE_END()
