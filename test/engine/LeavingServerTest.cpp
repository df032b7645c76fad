#include "EngineFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirewind;
using namespace sapphirewind::test;
using namespace std::chrono_literals;

namespace {

/// An instance before the two servers of a plain service, of which the first is far faster and so
/// preferred whenever it is not avoided.
struct LeavingServer : EngineFixture
{
  LeavingServer()
  {
    this->ServerOf("p", 1).SetBehaviour({ .serviceTime = 20ms });
    this->StartInstance();
    BOOST_REQUIRE(this->AwaitReady());
    BOOST_REQUIRE(Await([this] { return this->ArrivalsOf(0, kRequests) > kRequests / 2; }));
  }

  static constexpr size_t kRequests = 20;

  void Leave(size_t aServer, const std::string& aValue = "1")
  {
    this->ServerOf("p", aServer).SetLeaving(aValue);
  }

  std::optional<engine::HttpResponse> Send(const std::string& aTarget = "/p/1")
  {
    return this->Connect().Exchange(
      { .target = aTarget, .id = "leaving-" + std::to_string(this->sent++), .deadlineMs = 30000 });
  }

  /// Sends requests, all of which must be answered; returns how many reached a server of "p".
  size_t ArrivalsOf(size_t aServer, size_t aRequests = kRequests)
  {
    size_t before = this->ServerOf("p", aServer).Arrivals();
    for (size_t request = 0; request < aRequests; ++request) {
      auto answer = this->Send();
      BOOST_REQUIRE(answer.has_value());
      BOOST_TEST(answer->result_int() == 200U);
    }
    return this->ServerOf("p", aServer).Arrivals() - before;
  }

  /// Waits until the instance has read all changes of the servers: it then watches for the next.
  bool AwaitStoreRead()
  {
    return Await([this] { return this->store.ActiveWatches("servers") > 0; });
  }

  bool IsRejected(const std::string& aTarget = "/p/1")
  {
    auto answer = this->Send(aTarget);
    return answer && answer->result_int() == 503U;
  }

  size_t sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_server_whose_answers_say_that_it_leaves, LeavingServer)

BOOST_AUTO_TEST_CASE(gets_nothing_more_while_another_can_take_it)
{
  BOOST_TEST(this->ArrivalsOf(0) > 0U);
  this->Leave(0);
  BOOST_TEST(Await([this] { return this->ArrivalsOf(0, 1) == 1U; }));
  BOOST_TEST(this->ArrivalsOf(0) == 0U);
}

BOOST_AUTO_TEST_CASE(is_believed_over_its_entry_whatever_the_store_says)
{
  this->Leave(0);
  BOOST_TEST(Await([this] { return this->ArrivalsOf(0, 1) == 1U; }));
  fakes::SearchServer& leaving = this->ServerOf("p", 0);
  leaving.Register(this->store, "draining");
  BOOST_REQUIRE(this->AwaitStoreRead());
  leaving.Register(this->store, "ready");
  BOOST_REQUIRE(this->AwaitStoreRead());
  BOOST_TEST(this->ArrivalsOf(0) == 0U);
  this->store.Remove("servers", leaving.Id());
  BOOST_REQUIRE(this->AwaitStoreRead());
  leaving.Register(this->store, "ready");
  BOOST_REQUIRE(this->AwaitStoreRead());
  BOOST_TEST(this->ArrivalsOf(0) == 0U);
  this->store.SetMode(fakes::ObjectStore::Mode::Unavailable);
  this->store.CutWatches();
  BOOST_TEST(this->ArrivalsOf(0) == 0U);
  this->store.SetMode(fakes::ObjectStore::Mode::Serving);
  BOOST_REQUIRE(this->AwaitStoreRead());
  BOOST_TEST(this->ArrivalsOf(0) == 0U);
}

BOOST_AUTO_TEST_CASE(is_used_again_after_a_new_start_at_the_same_address)
{
  this->Leave(0);
  BOOST_TEST(Await([this] { return this->ArrivalsOf(0, 1) == 1U; }));
  BOOST_TEST(this->ArrivalsOf(0) == 0U);
  this->ServerOf("p", 0).Restart();
  this->ServerOf("p", 0).Register(this->store);
  BOOST_TEST(Await([this] { return this->ArrivalsOf(0, 1) == 1U; }));
}

BOOST_AUTO_TEST_CASE(is_used_as_before_if_the_value_cannot_be_read)
{
  this->Leave(0, "yes");
  BOOST_TEST(this->ArrivalsOf(0) > 10U);
}

BOOST_AUTO_TEST_SUITE(while_no_other_is_left)

BOOST_AUTO_TEST_CASE(serves_until_its_time_is_over_and_is_then_sent_nothing)
{
  this->Leave(0);
  this->Leave(1);
  BOOST_TEST(this->Send()->result_int() == 200U);
  BOOST_TEST(this->Send()->result_int() == 200U);
  BOOST_TEST(Await([this] { return this->IsRejected(); }));
  size_t before = this->ArrivalsAt("p");
  // Rejected at once although their callers would wait for 30 s.
  for (int request = 0; request < 20; ++request) {
    BOOST_TEST(this->IsRejected());
  }
  BOOST_TEST(this->ArrivalsAt("p") == before);
}

// Guards against a query that waits for a part whose servers have all left.
BOOST_AUTO_TEST_CASE(costs_a_query_its_part_only)
{
  for (size_t server : { 0U, 1U }) {
    this->ServerOf("s0", server).SetLeaving("1");
  }
  BOOST_TEST(Await([this] {
    auto answer = this->Send("/q/1");
    return answer && answer->result_int() == 200U &&
           Header(*answer, "Sapphirewind-Missing-Parts") == "1";
  }));
  size_t before = this->ArrivalsAt("s0");
  BOOST_TEST(Header(*this->Send("/q/2"), "Sapphirewind-Missing-Parts") == "1");
  BOOST_TEST(this->ArrivalsAt("s0") == before);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
