/// @file This instance's part of the budget of extra attempts that all instances share for a
/// service.
///
/// The platform allows, in any window, a share of the requests and a minimum number. The budget
/// counts both over a sliding window of this instance's own, so that what was spent comes back
/// after one window. The load that this answers: hundreds of instances, each with one or two extra
/// attempts of a service in a window, that lose parts of their queries for seconds on end.
#pragma once

#include <array>
#include <base/Time.h>
#include <cstdint>

namespace sapphirewind::dispatch {

/// What an instance may spend.
struct AttemptLimits
{
  /// Extra attempts allowed for each request.
  double share = 0.0;
  /// Extra attempts allowed in a window in addition.
  double minimum = 0.0;
  base::Duration window = std::chrono::seconds(10);

  auto operator<=>(const AttemptLimits&) const = default;
};

/// Requests and extra attempts of a service, by slices of the window. Plain data.
struct AttemptBudget
{
  static constexpr size_t kSlices = 10;

  struct Slice
  {
    /// The slice's number since the clock's start.
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t extras = 0;
  };

  /// One slice more than a window, so that extra attempts count for at least a whole window.
  std::array<Slice, kSlices + 1> slices;
};

/// Counts a request to the service.
void
CountRequest(AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow);

/// The remaining fraction of what is allowed in the window that ends now, from 0 to 1.
double
RemainingBudget(const AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow);

/// Counts an extra attempt if the budget allows it.
bool
TryWithdraw(AttemptBudget& aBudget, const AttemptLimits& aLimits, base::Instant aNow);

} // namespace sapphirewind::dispatch
