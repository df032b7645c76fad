#include <dispatch/ExtraSend.h>

namespace sapphirewind::dispatch {

namespace {

/// What late requests leave of the budget to those that can still be in time.
constexpr double kReservedForInTime = 0.5;

} // namespace

bool
IsWorthSending(const ExtraSend& aExtra, base::Instant aNow)
{
  bool inTime = aNow + aExtra.expected <= aExtra.answerBy;
  if (inTime) {
    return true;
  }
  // Before that moment a query may still be answered without this part.
  bool isNeeded = aNow >= aExtra.answerBy;
  return isNeeded && aExtra.budgetLeft >= kReservedForInTime;
}

} // namespace sapphirewind::dispatch
