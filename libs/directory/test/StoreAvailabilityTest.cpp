#include <boost/test/unit_test.hpp>
#include <directory/StoreAvailability.h>

using namespace sapphirewind;
using namespace sapphirewind::directory;
using namespace std::chrono_literals;

namespace {

const base::Instant kStart{ 100s };

} // namespace

BOOST_AUTO_TEST_SUITE(the_availability_of_the_store)

BOOST_AUTO_TEST_SUITE(when_a_single_call_fails)

// Guards against an outage inferred from one watch that was cut off.
BOOST_AUTO_TEST_CASE(does_not_change_however_often_it_happens)
{
  StoreAvailability state;
  for (int cut = 0; cut < 100; ++cut) {
    BOOST_TEST(!OnCallFailed(state, CallTarget::Store, kStart + cut * 1s));
    BOOST_TEST(!state.unavailable);
    BOOST_TEST(!OnCallAnswered(state));
  }
}

BOOST_AUTO_TEST_CASE(is_checked_by_a_call_that_does_not_wait)
{
  StoreAvailability state;
  BOOST_TEST(!NeedsPromptAnswer(state));
  OnCallFailed(state, CallTarget::Store, kStart);
  BOOST_TEST(NeedsPromptAnswer(state));
  OnCallAnswered(state);
  BOOST_TEST(!NeedsPromptAnswer(state));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_call_after_it_fails_too)

BOOST_AUTO_TEST_CASE(is_lost_once_and_regained_with_the_next_answer)
{
  StoreAvailability state;
  OnCallFailed(state, CallTarget::Store, kStart);
  BOOST_TEST(OnCallFailed(state, CallTarget::Store, kStart + 100ms));
  BOOST_TEST(!OnCallFailed(state, CallTarget::Store, kStart + 10s));
  BOOST_TEST(state.unavailable);
  BOOST_TEST(OnCallAnswered(state));
  BOOST_TEST(!state.unavailable);
  BOOST_TEST(!OnCallFailed(state, CallTarget::Store, kStart + 11s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_mirrors_fail)

// Guards against an outage inferred from mirrors that restart together.
BOOST_AUTO_TEST_CASE(does_not_change_while_others_are_tried)
{
  StoreAvailability state;
  for (int mirror = 0; mirror < 10; ++mirror) {
    BOOST_TEST(!OnCallFailed(state, CallTarget::Mirror, kStart + mirror * 10ms));
  }
  OnCallFailed(state, CallTarget::Store, kStart + 200ms);
  BOOST_TEST(!state.unavailable);
}

BOOST_AUTO_TEST_CASE(is_lost_once_no_source_has_answered_for_a_while)
{
  StoreAvailability state;
  OnCallFailed(state, CallTarget::Mirror, kStart);
  BOOST_TEST(!OnCallFailed(state, CallTarget::Mirror, kStart + kOutageSilence - 1ms));
  BOOST_TEST(OnCallFailed(state, CallTarget::Mirror, kStart + kOutageSilence));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
