#include "ClaimModel.h"
#include <boost/test/unit_test.hpp>

using namespace sapphirewind::test;

BOOST_AUTO_TEST_SUITE(a_protected_request)

BOOST_AUTO_TEST_SUITE(sent_by_callers_in_every_interleaving)

BOOST_AUTO_TEST_CASE(runs_at_most_once_with_two)
{
  ModelResult result = ExploreClaims(ModelOptions{ .callers = 2 });
  for (const std::string& violation : result.violations) {
    BOOST_ERROR(violation);
  }
  BOOST_TEST_MESSAGE("states: " << result.states);
  BOOST_TEST(result.states > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_broken_model)

BOOST_AUTO_TEST_CASE(is_seen_to_run_twice_or_to_be_misreported)
{
  for (Mutation mutation : { Mutation::TrustLostWrite,
                             Mutation::RetryAfterSend,
                             Mutation::TakeOverStale,
                             Mutation::GiveUpAfterSend }) {
    ModelResult result = ExploreClaims(ModelOptions{ .callers = 2, .mutation = mutation });
    BOOST_TEST(!result.violations.empty(),
               "mutation " << static_cast<int>(mutation) << " goes unseen");
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
