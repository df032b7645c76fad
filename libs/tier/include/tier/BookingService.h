/// @file Runs a request with side effects at most once: acquires a claim, dispatches it once,
/// records the outcome.
#pragma once

#include <base/Time.h>
#include <optional>
#include <string>
#include <telemetry/ClassMetrics.h>
#include <tier/AdmissionController.h>
#include <tier/ClaimWriter.h>
#include <tier/Scatter.h>
#include <tier/ServingState.h>

namespace sapphirewind::tier {

/// A caller's booking.
struct BookingRequest
{
  std::string requestId;
  std::string className;
  std::string key;     ///< The value of the Idempotency-Key header.
  std::string subject; ///< What is booked; selects the group.
  std::string body;    ///< Sent to the upstream unchanged.
};

/// The answer to the caller.
struct BookingAnswer
{
  std::string requestId;
  model::Outcome outcome = model::Outcome::NotRun;
  std::string receipt;
  /// Whether the receipt comes from an earlier request with the same key.
  bool replayed = false;
  std::optional<model::Errc> error;
  std::string detail;
  int retryAfterSeconds = 0;
};

/// Dependencies of BookingService. The references outlive it.
struct BookingContext
{
  std::string self;
  ServingStateHolder& servingState;
  AdmissionControllers& admissionControllers;
  ClaimWriter& claims;
  CellTable& cells;
  PeerClient& peers;
  Executor& executor;
  PauseGuard& pauseGuard;
  telemetry::ClassMetrics& metrics;
};

/// Thread-safe; blocks the calling thread.
class BookingService
{
public:
  explicit BookingService(BookingContext aContext);

  BookingAnswer Book(const BookingRequest& aRequest, std::optional<base::Duration> aTimeLeft);

private:
  BookingAnswer RunClaimed(const BookingRequest& aRequest,
                           const ServingState& aState,
                           const model::BookingTask& aTask,
                           const std::string& aNonce,
                           base::Instant aDeadline);
  model::BookingResult Dispatch(const ServingState& aState,
                                model::BookingTask aTask,
                                base::Instant aDeadline);
  model::BookingResult DispatchLocally(const model::BookingTask& aTask, base::Instant aDeadline);
  std::optional<claims::OperationResult> ApplyOperation(const ServingState& aState,
                                                        const claims::Operation& aOperation,
                                                        base::Instant aDeadline);
  void RecordOutcome(const ServingState& aState,
                     const claims::Operation& aOperation,
                     base::Instant aDeadline);

  BookingContext context;
};

/// The group that handles bookings of a subject in a snapshot; empty for a snapshot without shards.
std::string
GroupForSubject(const model::Snapshot& aSnapshot, const std::string& aSubject);

} // namespace sapphirewind::tier
