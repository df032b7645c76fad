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
  Register reg;
  BOOST_TEST((OnServerLost(reg, 7, "a", false, kStart) == Standing::Suspect));
}

BOOST_AUTO_TEST_CASE(is_condemned_when_a_second_server_is_lost_under_it_alone)
{
  Register reg;
  OnServerLost(reg, 7, "a", false, kStart);
  BOOST_TEST((OnServerLost(reg, 7, "b", true, kStart) == Standing::Condemned));
  BOOST_TEST((StandingOf(reg, 7, kStart + kCondemnedTime - 1s) == Standing::Condemned));
  BOOST_TEST((StandingOf(reg, 7, kStart + kCondemnedTime) == Standing::Clear));
}

BOOST_AUTO_TEST_SUITE(is_not_condemned)

BOOST_AUTO_TEST_CASE(when_a_rack_dies_under_it)
{
  Register reg;
  for (const char* server : { "a", "b", "c", "d" }) {
    BOOST_TEST((OnServerLost(reg, 7, server, false, kStart) == Standing::Suspect));
  }
}

BOOST_AUTO_TEST_CASE(when_the_same_server_is_lost_twice)
{
  Register reg;
  OnServerLost(reg, 7, "a", false, kStart);
  BOOST_TEST((OnServerLost(reg, 7, "a", true, kStart) == Standing::Suspect));
}

BOOST_AUTO_TEST_CASE(when_it_is_answered_alone)
{
  Register reg;
  OnServerLost(reg, 7, "a", false, kStart);
  OnAnswered(reg, 7);
  BOOST_TEST((StandingOf(reg, 7, kStart) == Standing::Clear));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_suspect_at_peers_too_and_condemned_there_by_another_server)
{
  Register reg;
  OnPeerSuspect(reg, 7, "a", kStart);
  BOOST_TEST((StandingOf(reg, 7, kStart) == Standing::Suspect));
  BOOST_TEST((OnServerLost(reg, 7, "a", true, kStart) == Standing::Suspect));
  BOOST_TEST((OnServerLost(reg, 7, "b", true, kStart) == Standing::Condemned));
  OnPeerSuspect(reg, 7, "c", kStart);
  BOOST_TEST((StandingOf(reg, 7, kStart) == Standing::Condemned));
}

BOOST_AUTO_TEST_CASE(is_refused_by_peers_too_for_a_bounded_time)
{
  Register reg;
  OnPeerCondemned(reg, 7, 9h, kStart);
  BOOST_TEST((StandingOf(reg, 7, kStart) == Standing::Condemned));
  BOOST_TEST((StandingOf(reg, 7, kStart + kCondemnedTime) == Standing::Clear));
  BOOST_TEST(ListCondemned(reg, kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
