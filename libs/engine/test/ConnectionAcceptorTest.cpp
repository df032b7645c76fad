#include <boost/test/unit_test.hpp>
#include <engine/ConnectionAcceptor.h>
#include <vector>

using namespace sapphirewind::engine;
using namespace std::chrono_literals;

namespace {

/// An acceptor to which many callers connect while the loop is busy elsewhere.
struct BusyAcceptor
{
  BusyAcceptor()
  {
    BOOST_REQUIRE(!this->acceptor.Start());
    for (size_t caller = 0; caller < kCallers; ++caller) {
      this->callers.emplace_back(this->loop).connect(this->acceptor.LocalEndpoint());
    }
  }

  void RunUntilAccepted(size_t aCount)
  {
    while (this->accepted.size() < aCount) {
      BOOST_REQUIRE(this->loop.run_one_for(30s) > 0);
    }
  }

  static constexpr size_t kCallers = 30;
  Loop loop;
  size_t limit = kCallers;
  std::vector<Tcp::socket> callers;
  std::vector<Tcp::socket> accepted;
  ConnectionAcceptor acceptor{ ConnectionAcceptor::Options{
    .loop = this->loop,
    .endpoint = Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
    .onConnection = [this](Tcp::socket aSocket) { this->accepted.push_back(std::move(aSocket)); },
    .mayAccept = [this] { return this->accepted.size() < this->limit; } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connections_that_wait_to_be_accepted, BusyAcceptor)

// Guards against requests that wait for as many rounds of the loop as connections were before them.
BOOST_AUTO_TEST_CASE(are_accepted_in_one_round)
{
  this->RunUntilAccepted(1);
  BOOST_TEST(this->accepted.size() == kCallers);
}

BOOST_AUTO_TEST_CASE(wait_beyond_the_limit_until_there_is_room)
{
  this->limit = 10;
  this->RunUntilAccepted(10);
  this->loop.poll();
  BOOST_TEST(this->accepted.size() == 10U);
  this->limit = kCallers;
  this->loop.restart();
  this->acceptor.Resume();
  this->RunUntilAccepted(kCallers);
}

BOOST_AUTO_TEST_SUITE_END()
