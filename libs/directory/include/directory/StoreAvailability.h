/// @file Decides from the outcomes of an instance's calls whether the platform's store is
/// unavailable to it.
///
/// The store cuts off waiting watches in normal operation, connections go silent, and a mirror ends
/// when its instance is restarted. So a call that fails is no outage; only if the call after it
/// fails too, on a new connection, is the store taken as unavailable. That call must ask for an
/// answer without waiting, as a watch that waits shows nothing until it ends.
#pragma once

#include <base/Time.h>
#include <optional>

namespace sapphirewind::directory {

/// Failures in a row at the store after which it counts as unavailable.
constexpr unsigned kOutageStoreFailures = 2;
/// Time without an answer, since the first failure, after which the store counts as unavailable to
/// an instance that reads from mirrors: a few of them may fail within milliseconds.
constexpr base::Duration kOutageSilence = std::chrono::seconds(2);

/// Where a call was sent.
enum class CallTarget
{
  Store,
  Mirror
};

/// What the calls since the last usable answer show. Plain data that the functions below operate
/// on.
struct StoreAvailability
{
  unsigned storeFailuresInRow = 0;
  /// When the first call since the last answer failed; empty while calls are answered.
  std::optional<base::Instant> failingSince;
  bool unavailable = false;

  auto operator<=>(const StoreAvailability&) const = default;
};

/// Records a call that ended without a usable answer. Returns whether the store counts as
/// unavailable from now on.
bool
OnCallFailed(StoreAvailability& aState, CallTarget aTarget, base::Instant aNow);

/// Records a usable answer. Returns whether it ends an outage.
bool
OnCallAnswered(StoreAvailability& aState);

/// Whether the next call must ask for an answer without waiting.
bool
NeedsPromptAnswer(const StoreAvailability& aState);

} // namespace sapphirewind::directory
