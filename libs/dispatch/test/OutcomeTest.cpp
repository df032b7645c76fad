#include <boost/test/unit_test.hpp>
#include <dispatch/Outcome.h>
#include <set>
#include <tuple>

using namespace sapphirewind::dispatch;
using sapphirewind::directory::Idempotency;

namespace {

constexpr AttemptOutcome kOutcomes[] = { AttemptOutcome::Answered,    AttemptOutcome::NotConnected,
                                         AttemptOutcome::NotExecuted, AttemptOutcome::ServerError,
                                         AttemptOutcome::Lost,        AttemptOutcome::Unusable };

/// The actual executions at the servers, beside the history recorded by the instance.
struct ServerSideState
{
  AttemptHistory history;
  unsigned executions = 0;
  unsigned openExecutions = 0;

  auto operator<=>(const ServerSideState&) const = default;
};

/// Maximum number of executions that an attempt with a given outcome may have caused.
unsigned
MaxExecutions(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::NotConnected || aOutcome == AttemptOutcome::NotExecuted ? 0
                                                                                             : 1;
}

/// Visits every order of attempts and outcomes of one request and checks each reported failure.
class StateExplorer
{
public:
  void Visit(const ServerSideState& aState, unsigned aAttempts)
  {
    if (!this->visited.insert({ aState, aAttempts }).second) {
      return;
    }
    this->CheckFailure(aState);
    bool mayRetry = MayRetry(aState.history, Idempotency::AtMostOnce);
    if (mayRetry && aAttempts < 4) {
      ServerSideState next = aState;
      OnAttemptStarted(next.history);
      ++next.openExecutions;
      this->Visit(next, aAttempts + 1);
    }
    if (aState.history.open == 0) {
      return;
    }
    for (AttemptOutcome outcome : kOutcomes) {
      ServerSideState next = aState;
      OnAttemptEnded(next.history, outcome);
      --next.openExecutions;
      next.executions += MaxExecutions(outcome);
      BOOST_TEST(next.executions <= 1U, "the request may have been executed more than once");
      this->Visit(next, aAttempts);
    }
  }

  size_t States() const { return this->visited.size(); }

private:
  static void CheckFailure(const ServerSideState& aState)
  {
    bool mayHaveExecuted = aState.executions + aState.openExecutions > 0;
    for (bool timedOut : { false, true }) {
      RequestFailure failure = ClassifyFailure(aState.history, timedOut);
      BOOST_TEST((failure == RequestFailure::NotExecuted) == !mayHaveExecuted,
                 "NotExecuted must be reported exactly if no execution is possible");
    }
  }

  std::set<std::tuple<ServerSideState, unsigned>> visited;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_with_at_most_once_execution)

BOOST_AUTO_TEST_CASE(runs_at_most_once_and_reports_the_correct_failure_in_every_order_of_events)
{
  StateExplorer explorer;
  explorer.Visit(ServerSideState{}, 0);
  BOOST_TEST(explorer.States() > 15U);
}

BOOST_AUTO_TEST_CASE(is_retried_after_the_server_reports_that_it_did_not_execute_it)
{
  AttemptHistory history;
  OnAttemptStarted(history);
  BOOST_TEST(!MayRetry(history, Idempotency::AtMostOnce));
  OnAttemptEnded(history, AttemptOutcome::NotExecuted);
  BOOST_TEST(MayRetry(history, Idempotency::AtMostOnce));
  BOOST_TEST(IsExtraAttempt(history));
}

BOOST_AUTO_TEST_CASE(is_never_retried_after_a_lost_answer)
{
  AttemptHistory history;
  OnAttemptStarted(history);
  OnAttemptEnded(history, AttemptOutcome::Lost);
  BOOST_TEST(!MayRetry(history, Idempotency::AtMostOnce));
  BOOST_TEST((ClassifyFailure(history, false) == RequestFailure::OutcomeUnknown));
  BOOST_TEST((ClassifyFailure(history, true) == RequestFailure::TimedOut));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_idempotent_request)

BOOST_AUTO_TEST_CASE(may_be_retried_after_any_outcome)
{
  AttemptHistory history;
  OnAttemptStarted(history);
  BOOST_TEST(MayRetry(history, Idempotency::Idempotent));
  OnAttemptEnded(history, AttemptOutcome::Lost);
  BOOST_TEST(MayRetry(history, Idempotency::Idempotent));
}

BOOST_AUTO_TEST_CASE(needs_no_retry_budget_before_an_attempt_reached_a_server)
{
  AttemptHistory history;
  BOOST_TEST(!IsExtraAttempt(history));
  OnAttemptStarted(history);
  OnAttemptEnded(history, AttemptOutcome::NotConnected);
  BOOST_TEST(!IsExtraAttempt(history));
}

BOOST_AUTO_TEST_SUITE_END()
