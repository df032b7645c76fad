#include <boost/test/unit_test.hpp>
#include <engine/StoreFollower.h>
#include <thread>

using namespace sapphirewind;
using namespace sapphirewind::engine;
using namespace std::chrono_literals;

namespace {

/// A follower whose store accepts connections and does not answer. The test runs the loop itself,
/// so that it decides which events are queued together.
struct WaitingFollower
{
  WaitingFollower()
  {
    this->codec.listTarget = [](StoreKind, const std::string&, ListAge) {
      return std::string("/");
    };
    this->follower->Start();
  }

  Loop loop;
  StoreCodec codec;
  Metrics metrics;
  Tcp::acceptor store{ this->loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  std::optional<StoreSource> source;
  int asked = 0;
  std::shared_ptr<StoreFollower> follower = std::make_shared<StoreFollower>(
    StoreFollower::Options{ .loop = this->loop,
                            .codec = this->codec,
                            .random = base::ThreadRandom(),
                            .metrics = this->metrics,
                            .chooseSource =
                              [this](SourceUse) {
                                ++this->asked;
                                return this->source;
                              },
                            .onSourceFailed = [](const StoreSource&, directory::MirrorFailure) {},
                            .onSourceAnswered = [](const StoreSource&) {},
                            .onLost = [](const char*) {} });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_follower_without_a_source, WaitingFollower)

BOOST_AUTO_TEST_CASE(calls_once_when_a_source_comes_as_it_asks_again)
{
  BOOST_TEST(this->asked == 1);
  Timer first(this->loop);
  first.expires_at(base::Instant{});
  first.async_wait([this](ErrorCode) {
    this->source = StoreSource{ .endpoint = this->store.local_endpoint() };
    this->follower->OnSourcesChanged();
  });
  std::this_thread::sleep_for(400ms);
  this->loop.poll();
  BOOST_TEST(this->asked == 2);
  this->follower->Stop();
}

BOOST_AUTO_TEST_SUITE_END()
