/// @file Single calls to an upstream server, with responses and errors mapped to typed outcomes.
#pragma once

#include <base/Time.h>
#include <memory>
#include <model/Attempt.h>
#include <model/Peer.h>
#include <net/Connection.h>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewind::tier {

/// Result class of an attempt.
enum class AttemptOutcome
{
  Answered,       ///< A usable answer, complete or partial.
  Discarded,      ///< The answer was malformed or belongs to another request; it is not used.
  Shed,           ///< The server refused the request because of load; not run.
  NoSnapshot,     ///< The server does not have the snapshot; not run.
  DeadlinePassed, ///< Refused because of the deadline; not run.
  ConnectFailed,  ///< No connection was established; nothing was sent.
  NotSent,        ///< Not sent because the choice of server was out of date; must be repeated.
  ConnectionLost, ///< The connection was lost; the request may have run.
  TimedOut,       ///< No answer within the timeout; the request may have run.
  Aborted,        ///< Cancelled by this instance; the request may have run.
  Failed          ///< The server returned an error; the request may have run.
};

/// Whether this outcome proves that the server did not run the request.
bool
ProvesNotRun(AttemptOutcome aOutcome);

struct AttemptResult
{
  AttemptOutcome outcome = AttemptOutcome::Failed;
  model::AttemptResponse answer;
  std::string receipt;
  std::string detail;
  bool draining = false;
  std::optional<double> load;
  base::Duration elapsed{ 0 };
};

/// A server's response to a health check.
struct HealthReport
{
  bool draining = false;
  std::vector<std::string> snapshots;
  std::optional<double> load;
};

/// Sends a search and waits for the answer. aMayStillSend is asked before the request's body is
/// sent; if it returns false, the outcome is NotSent.
AttemptResult
SendSearch(net::Connection& aConnection,
           const model::AttemptRequest& aRequest,
           base::Duration aTimeout,
           std::function<bool()> aMayStillSend);

/// Sends a booking and waits for the answer. The connection must be new, so that a failure to
/// connect proves that nothing was sent. aMayStillSend as for SendSearch.
AttemptResult
SendBooking(net::Connection& aConnection,
            const model::BookingTask& aTask,
            const std::string& aAttemptId,
            base::Duration aTimeout,
            std::function<bool()> aMayStillSend);

/// Sends a request to cancel an attempt, whose answer is no longer needed.
void
SendCancel(net::Connection& aConnection, const std::string& aAttemptId, base::Duration aTimeout);

/// Queries a server's health; empty if it does not return a valid report.
std::optional<HealthReport>
FetchHealth(net::ConnectionPool& aPool, base::Duration aTimeout);

/// Connects to the endpoint and returns whether the connection is refused, i.e. no process listens.
bool
RefusesConnections(const net::Endpoint& aEndpoint);

} // namespace sapphirewind::tier
