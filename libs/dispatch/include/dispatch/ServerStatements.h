/// @file What servers said of themselves in their answers: that they leave, or that they want
/// nothing for some time.
///
/// A server says so for one start of its process, and nothing that the store's entries say later
/// takes it back: an entry may still read ready, lapse in an outage and return. So it is remembered
/// by the start, apart from the table of servers.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <directory/ServerStart.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sapphirewind::dispatch {

/// That a server leaves.
struct Leaving
{
  /// When the first answer that said so was read.
  base::Instant since{};
  /// The end of the time in which it may still be sent requests.
  base::Instant usableUntil{};

  auto operator<=>(const Leaving&) const = default;
};

/// That a server wants nothing for some time.
struct Hold
{
  /// When the first answer was read that named a time in force since.
  base::Instant since{};
  base::Instant until{};

  auto operator<=>(const Hold&) const = default;
};

/// What one start of a server said.
struct ServerStatement
{
  std::optional<Leaving> leaving;
  std::optional<Hold> hold;

  auto operator<=>(const ServerStatement&) const = default;
};

struct ServerStatements
{
  struct Record
  {
    ServerStatement statement;
    /// Since when no entry names this start; empty while one does.
    std::optional<base::Instant> unlistedSince;
  };

  /// How long a server may be sent requests after it said that it leaves.
  base::Duration servingTime{ 0 };
  std::map<directory::ServerStart, Record> records;
};

/// How long a start is remembered once no entry names it. Longer than any outage after which an
/// entry that lapsed returns, and than the time after which an address is reused.
constexpr base::Duration kStatementRetention = std::chrono::minutes(5);
/// How long the end of a time in which a server wanted nothing is remembered. Longer than it is
/// given work by degrees.
constexpr base::Duration kHoldRetention = std::chrono::seconds(10);
/// Limit on the time for which a server may want nothing, so that a faulty value does not take it
/// out of service for good.
constexpr base::Duration kMaxHold = std::chrono::hours(24);
/// Maximum number of starts remembered; the one that was unlisted first is forgotten.
constexpr size_t kMaxStatements = 10'000;

/// Records an answer which says that a server leaves. Only the first one of a start counts.
Leaving
OnServerLeaving(ServerStatements& aServers,
                const directory::ServerStart& aStart,
                base::Instant aNow);

/// Records an answer which says that a server wants nothing for a time. The longest of several
/// times holds: a shorter one that comes later does not end it. A time of 0 changes nothing.
/// Returns the time in force, if any.
std::optional<Hold>
OnServerHeld(ServerStatements& aServers,
             const directory::ServerStart& aStart,
             base::Duration aFor,
             base::Instant aNow);

/// What a start said; empty if nothing is remembered.
ServerStatement
FindStatement(const ServerStatements& aServers, const directory::ServerStart& aStart);

/// Records which starts the store's entries name now.
void
SetListed(ServerStatements& aServers,
          const std::set<directory::ServerStart>& aListed,
          base::Instant aNow);

/// Forgets what no longer matters: starts that no entry has named for kStatementRetention, and
/// times that are over. A start without a start time is forgotten with its entry, as it is
/// indistinguishable from the next start of the same id.
void
ForgetOutdated(ServerStatements& aServers, base::Instant aNow);

} // namespace sapphirewind::dispatch
