#include <boost/test/unit_test.hpp>
#include <quarantine/Quarantine.h>

using namespace sapphirewind;
using namespace sapphirewind::quarantine;
using namespace std::chrono_literals;

namespace {
const base::Instant kStart{ 100s };
}

BOOST_AUTO_TEST_SUITE(a_request_under_which_a_server_was_lost)

BOOST_AUTO_TEST_CASE(is_suspect_at_first)
{
  QuarantineTable table;
  BOOST_TEST((OnServerLost(table, 7, "a", false, kStart) == QuarantineState::Suspect));
}

BOOST_AUTO_TEST_CASE(is_condemned_when_a_second_server_is_lost_under_it_alone)
{
  QuarantineTable table;
  OnServerLost(table, 7, "a", false, kStart);
  BOOST_TEST((OnServerLost(table, 7, "b", true, kStart) == QuarantineState::Quarantined));
  BOOST_TEST((StateOf(table, 7, kStart + kQuarantineTime - 1s) == QuarantineState::Quarantined));
  BOOST_TEST((StateOf(table, 7, kStart + kQuarantineTime) == QuarantineState::Clear));
}

BOOST_AUTO_TEST_SUITE(is_not_condemned)

BOOST_AUTO_TEST_CASE(when_a_rack_dies_under_it)
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

BOOST_AUTO_TEST_CASE(when_it_is_answered_alone)
{
  QuarantineTable table;
  OnServerLost(table, 7, "a", false, kStart);
  OnAnswered(table, 7);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Clear));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_suspect_at_peers_too_and_condemned_there_by_another_server)
{
  QuarantineTable table;
  OnPeerSuspected(table, 7, "a", kStart);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Suspect));
  BOOST_TEST((OnServerLost(table, 7, "a", true, kStart) == QuarantineState::Suspect));
  BOOST_TEST((OnServerLost(table, 7, "b", true, kStart) == QuarantineState::Quarantined));
  OnPeerSuspected(table, 7, "c", kStart);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Quarantined));
}

BOOST_AUTO_TEST_CASE(is_refused_by_peers_too_for_a_bounded_time)
{
  QuarantineTable table;
  OnPeerQuarantined(table, 7, 9h, kStart);
  BOOST_TEST((StateOf(table, 7, kStart) == QuarantineState::Quarantined));
  BOOST_TEST((StateOf(table, 7, kStart + kQuarantineTime) == QuarantineState::Clear));
  BOOST_TEST(ListQuarantined(table, kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
