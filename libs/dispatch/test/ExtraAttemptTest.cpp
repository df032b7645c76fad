#include <boost/test/unit_test.hpp>
#include <dispatch/ExtraAttempt.h>

using namespace sapphirewind;
using namespace sapphirewind::dispatch;
using namespace std::chrono_literals;

namespace {

const base::Instant kNow{ 100s };

ExtraAttempt
MakeAttempt(base::Duration aIn, double aRemainingBudget)
{
  return { .expected = 20ms, .answerBy = kNow + aIn, .remainingBudget = aRemainingBudget };
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_extra_attempt)

BOOST_AUTO_TEST_CASE(is_sent_while_it_can_be_answered_in_time)
{
  BOOST_TEST(ShouldSendExtraAttempt(MakeAttempt(20ms, 0.0), kNow));
}

BOOST_AUTO_TEST_CASE(is_deferred_if_late_while_the_request_may_be_answered_without_it)
{
  BOOST_TEST(!ShouldSendExtraAttempt(MakeAttempt(19ms, 1.0), kNow));
}

BOOST_AUTO_TEST_CASE(of_a_late_request_needs_half_of_the_budget)
{
  BOOST_TEST(ShouldSendExtraAttempt(MakeAttempt(0ms, 0.5), kNow));
  BOOST_TEST(!ShouldSendExtraAttempt(MakeAttempt(0ms, 0.49), kNow));
  BOOST_TEST(!ShouldSendExtraAttempt(MakeAttempt(-500ms, 0.1), kNow));
}

BOOST_AUTO_TEST_CASE(is_reserved_for_requests_that_lack_one_part_when_the_budget_is_low)
{
  ExtraAttempt scarce = MakeAttempt(100ms, 0.2);
  scarce.shortfall = 1;
  BOOST_TEST(ShouldSendExtraAttempt(scarce, kNow));
  scarce.shortfall = 0;
  BOOST_TEST(!ShouldSendExtraAttempt(scarce, kNow));
  scarce.shortfall = 3;
  BOOST_TEST(!ShouldSendExtraAttempt(scarce, kNow));
  for (size_t shortfall : { 0, 1, 2, 5 }) {
    ExtraAttempt ample = MakeAttempt(100ms, 0.9);
    ample.shortfall = shortfall;
    BOOST_TEST(ShouldSendExtraAttempt(ample, kNow));
  }
}

BOOST_AUTO_TEST_SUITE_END()
