#include "ClaimModel.h"
#include <boost/test/unit_test.hpp>

using namespace sapphirewind::test;

BOOST_AUTO_TEST_SUITE(a_protected_request)

BOOST_AUTO_TEST_SUITE(sent_by_callers_in_every_interleaving)

BOOST_AUTO_TEST_CASE(runs_at_most_once_for_two_callers)
{
  ModelResult result = ExploreClaims(ModelOptions{ .callers = 2 });
  for (const std::string& violation : result.violations) {
    BOOST_ERROR(violation);
  }
  BOOST_TEST_MESSAGE("states: " << result.states);
  BOOST_TEST(result.states > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_fault_built_into_the_model)

BOOST_AUTO_TEST_CASE(violates_the_at_most_once_guarantee)
{
  for (Mutation mutation : { Mutation::AssumeLostWriteSucceeded,
                             Mutation::RetryAfterSend,
                             Mutation::OverwriteForeignClaim,
                             Mutation::ReleaseAfterSend }) {
    ModelResult result = ExploreClaims(ModelOptions{ .callers = 2, .mutation = mutation });
    BOOST_TEST(!result.violations.empty(),
               "mutation " << static_cast<int>(mutation) << " is not detected");
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
