/// @file One group's part of a request while its owner holds it.
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

/// A search's part for one group.
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
  /// Called once with the end, under the cell's lock: it must not call the cell.
  std::function<void(model::GroupResult, std::vector<model::Hit>)> done;
};

/// A booking for one group; it has been claimed.
struct BookingWork
{
  model::BookingTask task;
  base::Instant deadline{};
  /// Called once with the end, under the cell's lock: it must not call the cell.
  std::function<void(model::BookingResult)> done;
};

/// An attempt that is with an upstream.
struct LiveAttempt
{
  std::string id;
  std::string server;
  base::Instant sentAt{};
  bool hedge = false;
  std::unique_ptr<net::Connection> connection;
};

/// A task with what its owner has done for it so far.
struct Ticket
{
  uint64_t id = 0;
  SearchTask search;
  /// Set for a booking; the search part then is unused.
  std::unique_ptr<BookingWork> booking;
  model::ClassPolicy policy;
  quarantine::Fingerprint fingerprint = 0;
  base::Instant arrived{};
  base::Instant deadline{};
  base::Duration queueWait{ 0 };
  /// Servers that have had it.
  std::vector<std::string> tried;
  /// Servers that do not have its snapshot.
  std::vector<std::string> lacking;
  std::vector<std::shared_ptr<LiveAttempt>> live;
  size_t attempts = 0;
  bool hedged = false;
  /// Suspect: runs only where nothing else runs.
  bool alone = false;
  bool finished = false;
  bool mayHaveRun = false;
  /// The best partial answer so far.
  std::optional<model::AttemptResponse> partial;
};

using TicketPointer = std::shared_ptr<Ticket>;

} // namespace sapphirewind::tier
