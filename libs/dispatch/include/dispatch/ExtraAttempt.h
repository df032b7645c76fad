/// @file What second sends are spent on: a service's budget for them is small and shared, so it
/// goes to requests that it still brings an answer in time.
#pragma once

#include <base/Time.h>
#include <cstddef>

namespace sapphirewind::dispatch {

/// What the worth of a second send depends on.
struct ExtraAttempt
{
  /// The latency to expect of it.
  base::Duration expected{ 0 };
  /// By when the answer must be there to be of full use.
  base::Instant answerBy{};
  /// The part of the budget that is left, from 0 to 1.
  double remainingBudget = 0.0;
  /// Parts that the request lacks for any answer at all, this one included; 0 when it has an answer
  /// without it, only a less complete one.
  size_t shortfall = 1;
};

/// Whether to send a second time now.
///
/// An answer in time comes first: one that would be late waits until it is certain that the request
/// needs it, and then takes only from a budget that is at least half full. As the budget runs low
/// it is kept for requests that lack one part: spent on those that lack several, it mostly buys
/// none of them an answer.
bool
ShouldSendExtraAttempt(const ExtraAttempt& aAttempt, base::Instant aNow);

} // namespace sapphirewind::dispatch
