/// @file One attempt at an upstream, from the request's bytes to a typed end.
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

/// How an attempt ended.
enum class AttemptEnd
{
  Answered,      ///< A usable answer, whole or partial.
  Discarded,     ///< An answer to something else: thrown away.
  Shed,          ///< Refused for load; not run.
  NoSnapshot,    ///< The server does not have the snapshot; not run.
  TooLate,       ///< Refused for its deadline; not run.
  ConnectFailed, ///< Nothing was sent.
  NotSent,       ///< This side decided not to send; the choice must be made again.
  Broken,        ///< The connection broke; it may have run.
  TimedOut,      ///< No answer in time; it may have run.
  Aborted,       ///< Given up by this side; it may have run.
  Failed         ///< The server ran it and reports an error.
};

/// Whether an attempt that ended so was certainly not run.
bool
ProvesNotRun(AttemptEnd aEnd);

struct AttemptResult
{
  AttemptEnd end = AttemptEnd::Failed;
  model::AttemptResponse answer;
  std::string receipt;
  std::string detail;
  bool draining = false;
  std::optional<double> load;
  base::Duration elapsed{ 0 };
};

/// What a server says of itself when asked.
struct HealthReport
{
  bool draining = false;
  std::vector<std::string> snapshots;
  std::optional<double> load;
};

/// Sends a search attempt on a connection.
AttemptResult
SendSearch(net::Connection& aConnection,
           const model::AttemptRequest& aRequest,
           base::Duration aTimeout);

/// Sends a booking on a connection that has carried nothing yet.
AttemptResult
SendBooking(net::Connection& aConnection,
            const model::BookingTask& aTask,
            const std::string& aAttemptId,
            base::Duration aTimeout);

/// Tells a server that nobody waits for an attempt any more.
void
SendCancel(net::Connection& aConnection, const std::string& aAttemptId, base::Duration aTimeout);

/// Asks a server for its health; empty when it does not answer.
std::optional<HealthReport>
AskHealth(net::ConnectionPool& aPool, base::Duration aTimeout);

/// Whether nothing listens at an endpoint any more.
bool
IsGone(const net::Endpoint& aEndpoint);

} // namespace sapphirewind::tier
