/// @file Admission of extra attempts, which are retries and hedged requests. The requests of a
/// service share a small budget for them, so it is spent where an answer can still be in time.
#pragma once

#include <base/Time.h>
#include <cstddef>

namespace sapphirewind::dispatch {

/// Inputs of the decision on an extra attempt.
struct ExtraAttempt
{
  /// Expected latency of the attempt.
  base::Duration expected{ 0 };
  /// Time by which the answer must arrive to meet the latency objective.
  base::Instant answerBy{};
  /// Remaining fraction of the budget, from 0 to 1.
  double remainingBudget = 0.0;
  /// Parts that the request still needs to be answered at all, including this one; 0 if it can be
  /// answered without this part, only less completely.
  size_t shortfall = 1;
};

/// Whether to send an extra attempt now.
///
/// Attempts that can meet the objective have precedence. An attempt that would be late is sent only
/// once aNow has reached answerBy, so that the request certainly needs it, and only while at least
/// half of the budget is left. A low budget is reserved for requests that lack a single part:
/// requests that lack several would mostly remain unanswered despite the extra attempts.
bool
ShouldSendExtraAttempt(const ExtraAttempt& aAttempt, base::Instant aNow);

} // namespace sapphirewind::dispatch
