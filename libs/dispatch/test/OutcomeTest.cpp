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

/// What really happened at the servers, beside what is known here.
struct ServerSideState
{
  AttemptHistory history;
  unsigned executions = 0;
  unsigned openExecutions = 0;

  auto operator<=>(const ServerSideState&) const = default;
};

/// How many runs an attempt with an end may have caused at the most.
unsigned
MaxExecutions(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::NotConnected || aOutcome == AttemptOutcome::NotExecuted ? 0
                                                                                             : 1;
}

/// Explores every order of starts, ends and refusals of one request and checks each promise.
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
      BOOST_TEST(next.executions <= 1U, "it may have run twice");
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
                 "a refusal must be true");
    }
  }

  std::set<std::tuple<ServerSideState, unsigned>> visited;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_may_run_once)

BOOST_AUTO_TEST_CASE(runs_at_most_once_and_is_refused_truly_in_every_order_of_events)
{
  StateExplorer explorer;
  explorer.Visit(ServerSideState{}, 0);
  BOOST_TEST(explorer.States() > 15U);
}

BOOST_AUTO_TEST_CASE(is_sent_again_after_a_refusal_that_says_it_did_not_run)
{
  AttemptHistory history;
  OnAttemptStarted(history);
  BOOST_TEST(!MayRetry(history, Idempotency::AtMostOnce));
  OnAttemptEnded(history, AttemptOutcome::NotExecuted);
  BOOST_TEST(MayRetry(history, Idempotency::AtMostOnce));
  BOOST_TEST(IsExtraAttempt(history));
}

BOOST_AUTO_TEST_CASE(is_never_sent_again_once_an_answer_was_lost)
{
  AttemptHistory history;
  OnAttemptStarted(history);
  OnAttemptEnded(history, AttemptOutcome::Lost);
  BOOST_TEST(!MayRetry(history, Idempotency::AtMostOnce));
  BOOST_TEST((ClassifyFailure(history, false) == RequestFailure::OutcomeUnknown));
  BOOST_TEST((ClassifyFailure(history, true) == RequestFailure::TimedOut));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_may_be_repeated)

BOOST_AUTO_TEST_CASE(may_be_sent_again_whatever_became_of_it)
{
  AttemptHistory history;
  OnAttemptStarted(history);
  BOOST_TEST(MayRetry(history, Idempotency::Idempotent));
  OnAttemptEnded(history, AttemptOutcome::Lost);
  BOOST_TEST(MayRetry(history, Idempotency::Idempotent));
}

BOOST_AUTO_TEST_CASE(costs_no_budget_while_nothing_reached_a_server)
{
  AttemptHistory history;
  BOOST_TEST(!IsExtraAttempt(history));
  OnAttemptStarted(history);
  OnAttemptEnded(history, AttemptOutcome::NotConnected);
  BOOST_TEST(!IsExtraAttempt(history));
}

BOOST_AUTO_TEST_SUITE_END()
