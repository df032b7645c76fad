#include <dispatch/ExtraAttempt.h>

namespace sapphirewind::dispatch {

namespace {

/// Fraction of the budget reserved for attempts that can still be in time.
constexpr double kReservedForInTime = 0.5;
/// Fraction reserved, against attempts for more complete answers, for requests without an answer.
constexpr double kReservedForAnswers = 0.3;
/// Fraction reserved, against requests that lack several parts, for those that lack one.
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
  // Before answerBy, a query may still be answered without this part.
  bool isNeeded = aNow >= aAttempt.answerBy;
  return isNeeded && aAttempt.remainingBudget >= kReservedForInTime;
}

} // namespace sapphirewind::dispatch
