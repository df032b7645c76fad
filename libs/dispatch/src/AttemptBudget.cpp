#include <dispatch/AttemptBudget.h>

#include <algorithm>

namespace sapphirewind::dispatch {

namespace {

struct Usage
{
  double allowed = 0.0;
  double spent = 0.0;
};

int64_t
SliceNumber(const AttemptLimits& aLimits, base::Instant aNow)
{
  base::Duration length = aLimits.window / static_cast<int64_t>(AttemptBudget::kSlices);
  return aNow.time_since_epoch().count() / std::max<int64_t>(1, length.count());
}

AttemptBudget::Slice&
CurrentSlice(AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow)
{
  int64_t number = SliceNumber(aLimits, aNow);
  AttemptBudget::Slice& slice = aBudget.slices[static_cast<size_t>(number) % aBudget.slices.size()];
  if (slice.number != number) {
    slice = { .number = number };
  }
  return slice;
}

Usage
UsageOf(const AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow)
{
  int64_t current = SliceNumber(aLimits, aNow);
  auto slices = static_cast<int64_t>(AttemptBudget::kSlices);
  Usage usage{ .allowed = aLimits.minimum };
  for (const AttemptBudget::Slice& slice : aBudget.slices) {
    int64_t age = current - slice.number;
    // The current slice and those before it make up at most a window of requests.
    usage.allowed += age >= 0 && age < slices ? aLimits.share * slice.requests : 0.0;
    usage.spent += age >= 0 && age <= slices ? slice.extras : 0.0;
  }
  return usage;
}

} // namespace

void
CountRequest(AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow)
{
  ++CurrentSlice(aBudget, aLimits, aNow).requests;
}

double
RemainingBudget(const AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow)
{
  Usage usage = UsageOf(aBudget, aLimits, aNow);
  return usage.allowed <= 0.0 ? 0.0 : std::clamp(1.0 - usage.spent / usage.allowed, 0.0, 1.0);
}

bool
TryWithdraw(AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow)
{
  Usage usage = UsageOf(aBudget, aLimits, aNow);
  if (usage.spent + 1.0 > usage.allowed) {
    return false;
  }
  ++CurrentSlice(aBudget, aLimits, aNow).extras;
  return true;
}

} // namespace sapphirewind::dispatch
