/// @file Decides from the outcomes of earlier attempts whether a request may be retried and which
/// failure is reported to the caller.
#pragma once

#include <directory/Configuration.h>

namespace sapphirewind::dispatch {

/// Outcome of one attempt at an upstream.
enum class AttemptOutcome
{
  Answered,     ///< A complete answer from the intended server.
  NotConnected, ///< No byte of the request was sent.
  NotExecuted,  ///< The server reported that it did not execute the request.
  ServerError,  ///< A complete answer with a server error; the request was executed.
  Lost,         ///< Sent without a complete answer; the request may have been executed.
  Unusable      ///< An invalid answer; the request may have been executed.
};

/// Short name for logs and metrics.
const char*
NameOf(AttemptOutcome aOutcome);

/// Summary of all attempts of one request so far.
struct AttemptHistory
{
  /// Attempts that reached an upstream or may have reached one.
  unsigned sent = 0;
  /// Attempts in progress.
  unsigned open = 0;
  bool mayHaveExecuted = false;

  auto operator<=>(const AttemptHistory&) const = default;
};

void
OnAttemptStarted(AttemptHistory& aHistory);

void
OnAttemptEnded(AttemptHistory& aHistory, AttemptOutcome aOutcome);

/// Whether one more attempt is safe: always for idempotent requests, and for others only while no
/// attempt is in progress and none may have been executed.
bool
MayRetry(const AttemptHistory& aHistory, directory::Idempotency aIdempotency);

/// Whether the next attempt is an extra one, which the extra-attempt budget must cover.
bool
IsExtraAttempt(const AttemptHistory& aHistory);

/// Failure of a request that has no answer.
enum class RequestFailure
{
  NotExecuted,    ///< Not executed and never will be; the caller may safely retry any request.
  OutcomeUnknown, ///< It may have been executed.
  TimedOut        ///< It may have been executed, and its deadline has passed.
};

/// The failure to report. Open attempts count as possibly executed, because a server may execute an
/// attempt even if it is cancelled.
RequestFailure
ClassifyFailure(const AttemptHistory& aHistory, bool aTimedOut);

} // namespace sapphirewind::dispatch
