/// @file A search or booking task of one group while it is queued or in flight at its owner.
#pragma once

#include <base/Time.h>
#include <functional>
#include <memory>
#include <model/Attempt.h>
#include <model/Peer.h>
#include <net/Connection.h>
#include <quarantine/Quarantine.h>
#include <string>
#include <vector>

namespace sapphirewind::tier {

/// The part of a search that runs on one group.
struct SearchTask
{
  std::string requestId;
  std::string service;
  std::string snapshot;
  std::string query;
  std::vector<std::string> shards;
  size_t top = 10;
  model::ClassPolicy policy;
  base::Instant deadline{};
  bool canary = false;
  /// Called once with the result, under the cell's lock; must not call into the cell.
  std::function<void(model::GroupResult, std::vector<model::Hit>)> done;
};

/// A booking for one group whose key has been claimed.
struct BookingWork
{
  model::BookingTask task;
  base::Instant deadline{};
  /// Called once with the result, under the cell's lock; must not call into the cell.
  std::function<void(model::BookingResult)> done;
};

/// An attempt in flight at an upstream server.
struct InFlightAttempt
{
  std::string id;
  std::string server;
  base::Instant sentAt{};
  bool hedge = false;
  std::unique_ptr<net::Connection> connection;
};

/// A task together with the state of its attempts.
struct PendingTask
{
  uint64_t id = 0;
  SearchTask search;
  /// Set for a booking; the field search is unused then.
  std::unique_ptr<BookingWork> booking;
  model::ClassPolicy policy;
  quarantine::Fingerprint fingerprint = 0;
  base::Instant arrived{};
  base::Instant deadline{};
  base::Duration queueWait{ 0 };
  /// Servers to which the task has been sent.
  std::vector<std::string> tried;
  /// Servers that reported the task's snapshot as missing.
  std::vector<std::string> serversWithoutSnapshot;
  std::vector<std::shared_ptr<InFlightAttempt>> attemptsInFlight;
  size_t attempts = 0;
  bool hedged = false;
  /// The request is a crash suspect and runs only on a server without other requests.
  bool isolated = false;
  bool finished = false;
  bool mayHaveRun = false;
  /// The partial answer with the most shards so far.
  std::optional<model::AttemptResponse> partial;
};

using PendingTaskPointer = std::shared_ptr<PendingTask>;

} // namespace sapphirewind::tier
