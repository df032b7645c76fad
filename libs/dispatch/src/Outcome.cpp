#include <dispatch/Outcome.h>

#include <cassert>

namespace sapphirewind::dispatch {

const char*
NameOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::NotConnected:
      return "not_connected";
    case AttemptEnd::NotExecuted:
      return "not_executed";
    case AttemptEnd::ServerError:
      return "server_error";
    case AttemptEnd::Lost:
      return "lost";
    case AttemptEnd::Unusable:
      return "unusable";
  }
  return "";
}

void
OnStarted(AttemptHistory& aHistory)
{
  ++aHistory.sent;
  ++aHistory.open;
}

void
OnEnded(AttemptHistory& aHistory, AttemptEnd aEnd)
{
  assert(aHistory.open > 0 && "only a started attempt ends");
  --aHistory.open;
  switch (aEnd) {
    case AttemptEnd::NotConnected:
      --aHistory.sent;
      break;
    case AttemptEnd::NotExecuted:
      break;
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
    case AttemptEnd::Lost:
    case AttemptEnd::Unusable:
      aHistory.mayHaveRun = true;
      break;
  }
}

bool
MaySendAgain(const AttemptHistory& aHistory, directory::Idempotency aRepeatability)
{
  if (aRepeatability == directory::Idempotency::Idempotent) {
    return true;
  }
  return !aHistory.mayHaveRun && aHistory.open == 0;
}

bool
IsExtra(const AttemptHistory& aHistory)
{
  return aHistory.sent > 0;
}

Refusal
TrueRefusal(const AttemptHistory& aHistory, bool aTimeIsOver)
{
  if (!aHistory.mayHaveRun && aHistory.open == 0) {
    return Refusal::NotRun;
  }
  return aTimeIsOver ? Refusal::TimedOut : Refusal::Unknown;
}

} // namespace sapphirewind::dispatch
