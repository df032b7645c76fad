#include <boost/test/unit_test.hpp>
#include <dispatch/Outcome.h>
#include <set>
#include <tuple>

using namespace sapphirewind::dispatch;
using sapphirewind::directory::Idempotency;

namespace {

constexpr AttemptOutcome kEnds[] = { AttemptOutcome::Answered,    AttemptOutcome::NotConnected,
                                     AttemptOutcome::NotExecuted, AttemptOutcome::ServerError,
                                     AttemptOutcome::Lost,        AttemptOutcome::Unusable };

/// What really happened at the servers, beside what is known here.
struct Reality
{
  AttemptHistory known;
  unsigned runs = 0;
  unsigned openRuns = 0;

  auto operator<=>(const Reality&) const = default;
};

/// How many runs an attempt with an end may have caused at the most.
unsigned
MostRuns(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::NotConnected || aOutcome == AttemptOutcome::NotExecuted ? 0
                                                                                             : 1;
}

/// Explores every order of starts, ends and refusals of one request and checks each promise.
class Explorer
{
public:
  void Explore(const Reality& aReality, unsigned aStarts)
  {
    if (!this->seen.insert({ aReality, aStarts }).second) {
      return;
    }
    this->CheckRefusal(aReality);
    bool maySend = MayRetry(aReality.known, Idempotency::AtMostOnce);
    if (maySend && aStarts < 4) {
      Reality next = aReality;
      OnAttemptStarted(next.known);
      ++next.openRuns;
      this->Explore(next, aStarts + 1);
    }
    if (aReality.known.open == 0) {
      return;
    }
    for (AttemptOutcome end : kEnds) {
      Reality next = aReality;
      OnAttemptEnded(next.known, end);
      --next.openRuns;
      next.runs += MostRuns(end);
      BOOST_TEST(next.runs <= 1U, "it may have run twice");
      this->Explore(next, aStarts);
    }
  }

  size_t States() const { return this->seen.size(); }

private:
  static void CheckRefusal(const Reality& aReality)
  {
    bool mayHaveExecuted = aReality.runs + aReality.openRuns > 0;
    for (bool late : { false, true }) {
      RequestFailure refusal = ClassifyFailure(aReality.known, late);
      BOOST_TEST((refusal == RequestFailure::NotExecuted) == !mayHaveExecuted,
                 "a refusal must be true");
    }
  }

  std::set<std::tuple<Reality, unsigned>> seen;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_may_run_once)

BOOST_AUTO_TEST_CASE(runs_at_most_once_and_is_refused_truly_in_every_order_of_events)
{
  Explorer explorer;
  explorer.Explore(Reality{}, 0);
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
