#include <dispatch/ExtraAttempt.h>

namespace sapphirewind::dispatch {

namespace {

/// What late requests leave of the budget to those that can still be in time.
constexpr double kReservedForInTime = 0.5;
/// What a more complete answer leaves to requests that would have none.
constexpr double kReservedForAnswers = 0.3;
/// What requests that lack several parts leave to those that lack one.
constexpr double kReservedForLastParts = 0.6;

double
ReserveAgainst(size_t aShortfall)
{
  if (aShortfall == 0) {
    return kReservedForAnswers;
  }
  return aShortfall == 1 ? 0.0 : kReservedForLastParts;
}

} // namespace

bool
ShouldSendExtraAttempt(const ExtraAttempt& aExtra, base::Instant aNow)
{
  if (aExtra.remainingBudget < ReserveAgainst(aExtra.shortfall)) {
    return false;
  }
  bool inTime = aNow + aExtra.expected <= aExtra.answerBy;
  if (inTime) {
    return true;
  }
  // Before that moment a query may still be answered without this part.
  bool isNeeded = aNow >= aExtra.answerBy;
  return isNeeded && aExtra.remainingBudget >= kReservedForInTime;
}

} // namespace sapphirewind::dispatch
