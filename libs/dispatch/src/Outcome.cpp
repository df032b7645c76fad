#include <dispatch/Outcome.h>

#include <cassert>

namespace sapphirewind::dispatch {

const char*
NameOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      return "answered";
    case AttemptOutcome::NotConnected:
      return "not_connected";
    case AttemptOutcome::NotExecuted:
      return "not_executed";
    case AttemptOutcome::ServerError:
      return "server_error";
    case AttemptOutcome::Lost:
      return "lost";
    case AttemptOutcome::Unusable:
      return "unusable";
  }
  return "";
}

void
OnAttemptStarted(AttemptHistory& aHistory)
{
  ++aHistory.sent;
  ++aHistory.open;
}

void
OnAttemptEnded(AttemptHistory& aHistory, AttemptOutcome aOutcome)
{
  assert(aHistory.open > 0 && "an attempt ends only after it started");
  --aHistory.open;
  switch (aOutcome) {
    case AttemptOutcome::NotConnected:
      --aHistory.sent;
      break;
    case AttemptOutcome::NotExecuted:
      break;
    case AttemptOutcome::Answered:
    case AttemptOutcome::ServerError:
    case AttemptOutcome::Lost:
    case AttemptOutcome::Unusable:
      aHistory.mayHaveExecuted = true;
      break;
  }
}

bool
MayRetry(const AttemptHistory& aHistory, directory::Idempotency aIdempotency)
{
  if (aIdempotency == directory::Idempotency::Idempotent) {
    return true;
  }
  return !aHistory.mayHaveExecuted && aHistory.open == 0;
}

bool
IsExtraAttempt(const AttemptHistory& aHistory)
{
  return aHistory.sent > 0;
}

RequestFailure
ClassifyFailure(const AttemptHistory& aHistory, bool aTimedOut)
{
  if (!aHistory.mayHaveExecuted && aHistory.open == 0) {
    return RequestFailure::NotExecuted;
  }
  return aTimedOut ? RequestFailure::TimedOut : RequestFailure::OutcomeUnknown;
}

} // namespace sapphirewind::dispatch
