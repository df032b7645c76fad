#include <dispatch/ExtraAttempt.h>

namespace sapphirewind::dispatch {

namespace {

/// What late requests leave of the budget to those that can still be in time.
constexpr double kReservedForInTime = 0.5;
/// What a more complete answer leaves to requests that would have none.
constexpr double kReservedForAnswers = 0.3;
/// What requests that lack several parts leave to those that lack one.
constexpr double kReservedForLastPart = 0.6;

double
BudgetReserve(size_t aShortfall)
{
  if (aShortfall == 0) {
    return kReservedForAnswers;
  }
  return aShortfall == 1 ? 0.0 : kReservedForLastPart;
}

} // namespace

bool
ShouldSendExtraAttempt(const ExtraAttempt& aAttempt, base::Instant aNow)
{
  if (aAttempt.remainingBudget < BudgetReserve(aAttempt.shortfall)) {
    return false;
  }
  bool inTime = aNow + aAttempt.expected <= aAttempt.answerBy;
  if (inTime) {
    return true;
  }
  // Before that moment a query may still be answered without this part.
  bool isNeeded = aNow >= aAttempt.answerBy;
  return isNeeded && aAttempt.remainingBudget >= kReservedForInTime;
}

} // namespace sapphirewind::dispatch
