#include <boost/test/unit_test.hpp>
#include <quarantine/Quarantine.h>

using namespace sapphirewind;
using namespace sapphirewind::quarantine;
using namespace std::chrono_literals;

namespace {
const base::Instant kStart{ 100s };
}

BOOST_AUTO_TEST_SUITE(a_request_whose_server_was_lost)

BOOST_AUTO_TEST_CASE(is_suspect_at_first)
{
  QuarantineTable table;
  BOOST_TEST((OnServerLost(table, 7, "a", false, kStart) == QuarantineState::Suspect));
}

BOOST_AUTO_TEST_CASE(is_quarantined_when_a_second_server_is_lost_in_isolation)
{
  QuarantineTable table;
  OnServerLost(table, 7, "a", false, kStart);
  BOOST_TEST((OnServerLost(table, 7, "b", true, kStart) == QuarantineState::Quarantined));
  BOOST_TEST((StateOf(table, 7, kStart + kQuarantineTime - 1s) == QuarantineState::Quarantined));
  BOOST_TEST((StateOf(table, 7, kStart + kQuarantineTime) == QuarantineState::Clear));
}

BOOST_AUTO_TEST_SUITE(is_not_quarantined)

BOOST_AUTO_TEST_CASE(when_several_servers_fail_together)
{
  QuarantineTable table;
  for (const char* server : { "a", "b", "c", "d" }) {
    BOOST_TEST((OnServerLost(table, 7, server, false, kStart) == QuarantineState::Suspect));
  }
}

BOOST_AUTO_TEST_CASE(when_the_same_server_is_lost_twice)
{
  QuarantineTable table;
  OnServerLost(table, 7, "a", false, kStart);
  BOOST_TEST((OnServerLost(table, 7, "a", true, kStart) == QuarantineState::Suspect));
}

BOOST_AUTO_TEST_CASE(when_it_is_answered_in_isolation)
{
  QuarantineTable table;
  OnServerLost(table, 7, "a", false, kStart);
  OnAnswered(table, 7);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Clear));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_suspect_at_peers_and_quarantined_there_after_another_loss)
{
  QuarantineTable table;
  OnPeerSuspected(table, 7, "a", kStart);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Suspect));
  BOOST_TEST((OnServerLost(table, 7, "a", true, kStart) == QuarantineState::Suspect));
  BOOST_TEST((OnServerLost(table, 7, "b", true, kStart) == QuarantineState::Quarantined));
  OnPeerSuspected(table, 7, "c", kStart);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Quarantined));
}

BOOST_AUTO_TEST_CASE(is_quarantined_at_peers_for_a_bounded_time)
{
  QuarantineTable table;
  OnPeerQuarantined(table, 7, 9h, kStart);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Quarantined));
  BOOST_TEST((StateOf(table, 7, kStart + kQuarantineTime) == QuarantineState::Clear));
  BOOST_TEST(ListQuarantined(table, kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
