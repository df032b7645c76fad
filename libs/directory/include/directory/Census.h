/// @file How many instances there are, from entries that each rewrites from time to time.
///
/// Nothing in the store expires by itself, so an entry counts only while it keeps changing. An
/// entry seen for the first time counts: too many instances means too small shares, which is the
/// safe side for limits that all share.
#pragma once

#include <base/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirewind::directory {

/// How often an instance rewrites its entry. Shares adapt within a few of these.
constexpr base::Duration kBeatInterval = std::chrono::seconds(6);
/// An entry that did not change for this long is a dead instance's: three beats.
constexpr base::Duration kBeatLifetime = kBeatInterval * 3;
/// A dead entry is removed after this long, well past any outage that stops beats.
constexpr base::Duration kEntryLifetime = std::chrono::minutes(5);

struct Census
{
  struct Sighting
  {
    uint64_t revision = 0;
    base::Instant changedAt{};
  };

  std::map<std::string, Sighting> sightings;
};

/// Takes in that an entry has a revision.
void
Observe(Census& aCensus, const std::string& aName, uint64_t aRevision, base::Instant aNow);

size_t
CountLive(const Census& aCensus, base::Instant aNow);

/// Entries that are to be removed from the store; they are forgotten here.
std::vector<std::string>
TakeExpired(Census& aCensus, base::Instant aNow);

} // namespace sapphirewind::directory
