#include <routing/Replica.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sapphirewind::routing {

namespace {

constexpr double kLatencySmoothing = 0.05;
constexpr double kOutlierLatencyFactor = 3.0;
constexpr double kMinOutlierLatencyMs = 2.0;
constexpr size_t kMinSamplesToEject = 12;
constexpr size_t kMinSamplesToReeject = 2;
constexpr size_t kFailuresToEject = 3;
constexpr base::Duration kBaseEjectionTime = std::chrono::seconds(5);
constexpr base::Duration kMaxEjectionTime = std::chrono::seconds(60);
constexpr size_t kMaxEjectionDoublings = 5;
constexpr base::Duration kBaseBackoff = std::chrono::milliseconds(20);
constexpr size_t kMaxBackoffDoublings = 6;
constexpr double kShedDecreaseFactor = 0.7;
constexpr double kLimitIncrease = 0.2;
constexpr double kLoadReportPenalty = 1.0;
/// The latency assumed for a server without samples, in milliseconds.
constexpr double kDefaultLatencyMs = 1.0;

bool
WasTried(const Replica& aReplica, const std::vector<std::string>& aTried)
{
  return std::find(aTried.begin(), aTried.end(), aReplica.name) != aTried.end();
}

void
Eject(Replica& aReplica, base::Instant aNow)
{
  size_t doublings = std::min(aReplica.ejections, kMaxEjectionDoublings);
  base::Duration span = std::min(kBaseEjectionTime * (1 << doublings), kMaxEjectionTime);
  aReplica.ejectedUntil = aNow + span;
  ++aReplica.ejections;
  aReplica.samples = 0;
  aReplica.consecutiveFailures = 0;
  // After the ejection the server is in slow start and is evaluated by new samples only.
  aReplica.inSlowStart = true;
  aReplica.slowStartAt = aReplica.ejectedUntil;
}

/// The median latency of all servers except one, or 0 if none of them has samples.
double
MedianOfOthers(std::span<const Replica> aReplicas, size_t aExcept)
{
  std::vector<double> latencies;
  for (size_t index = 0; index < aReplicas.size(); ++index) {
    if (index != aExcept && aReplicas[index].samples > 0) {
      latencies.push_back(aReplicas[index].latencyMs);
    }
  }
  if (latencies.empty()) {
    return 0.0;
  }
  auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

bool
IsOutlier(std::span<const Replica> aReplicas, size_t aIndex)
{
  const Replica& replica = aReplicas[aIndex];
  if (replica.consecutiveFailures >= kFailuresToEject) {
    return true;
  }
  size_t minSamples = replica.ejections > 0 ? kMinSamplesToReeject : kMinSamplesToEject;
  if (replica.samples < minSamples) {
    return false;
  }
  double median = MedianOfOthers(aReplicas, aIndex);
  return median > 0.0 &&
         replica.latencyMs > std::max(kMinOutlierLatencyMs, kOutlierLatencyFactor * median);
}

template<typename IsUsable>
std::optional<size_t>
FindCheapest(std::span<const Replica> aReplicas,
             base::Instant aNow,
             base::Random& aRandom,
             const IsUsable& aIsUsable)
{
  std::optional<size_t> best;
  double bestCost = 0.0;
  size_t start = aReplicas.empty() ? 0 : base::UniformIndex(aRandom, aReplicas.size());
  for (size_t step = 0; step < aReplicas.size(); ++step) {
    size_t index = (start + step) % aReplicas.size();
    if (!aIsUsable(aReplicas[index]) || !HasCapacity(aReplicas[index], aNow)) {
      continue;
    }
    double cost = Cost(aReplicas[index], aNow);
    if (!best || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace

bool
IsAvailable(const Replica& aReplica, base::Instant aNow)
{
  return !aReplica.leaving && !aReplica.reserved && aNow >= aReplica.ejectedUntil &&
         aNow >= aReplica.backoffUntil;
}

size_t
EffectiveLimit(const Replica& aReplica, base::Instant aNow)
{
  double limit = std::min(aReplica.limit, static_cast<double>(aReplica.maxInFlight));
  if (aReplica.inSlowStart && aNow < aReplica.slowStartAt + kSlowStart) {
    double share = std::chrono::duration<double>(aNow - aReplica.slowStartAt) /
                   std::chrono::duration<double>(kSlowStart);
    limit =
      std::min(limit, 1.0 + std::max(0.0, share) * static_cast<double>(aReplica.maxInFlight - 1));
  }
  return std::max<size_t>(1, static_cast<size_t>(limit));
}

bool
HasCapacity(const Replica& aReplica, base::Instant aNow)
{
  return aReplica.inFlight < EffectiveLimit(aReplica, aNow);
}

double
Cost(const Replica& aReplica, base::Instant aNow)
{
  double latency = aReplica.samples > 0 ? aReplica.latencyMs : kDefaultLatencyMs;
  double load = static_cast<double>(aReplica.inFlight + 1) /
                static_cast<double>(EffectiveLimit(aReplica, aNow));
  double reported = aNow - aReplica.reportedAt < kLoadReportLifetime ? aReplica.reportedLoad : 0.0;
  double penalty = 1.0 + kLoadReportPenalty * std::max(0.0, reported - 1.0);
  return latency * load * penalty;
}

std::optional<size_t>
PickReplica(std::span<const Replica> aReplicas,
            const std::vector<std::string>& aTried,
            base::Instant aNow,
            base::Random& aRandom)
{
  // The next stage is used only if no server of the current one is available, not if all are at
  // their limit: waiting for a slot of a local server costs less than crossing regions.
  struct Stage
  {
    bool local;
    bool tried;
  };
  constexpr Stage kStages[] = {
    { true, false }, { false, false }, { true, true }, { false, true }
  };
  for (const Stage& stage : kStages) {
    auto usable = [&](const Replica& aReplica) {
      return aReplica.local == stage.local && WasTried(aReplica, aTried) == stage.tried &&
             IsAvailable(aReplica, aNow);
    };
    if (std::any_of(aReplicas.begin(), aReplicas.end(), usable)) {
      return FindCheapest(aReplicas, aNow, aRandom, usable);
    }
  }
  return std::nullopt;
}

std::optional<size_t>
PickRandomReplica(std::span<const Replica> aReplicas, base::Random& aRandom)
{
  std::vector<size_t> usable;
  for (size_t index = 0; index < aReplicas.size(); ++index) {
    const Replica& replica = aReplicas[index];
    if (!replica.leaving && replica.local && replica.inFlight < replica.maxInFlight) {
      usable.push_back(index);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[base::UniformIndex(aRandom, usable.size())];
}

void
OnSent(Replica& aReplica)
{
  ++aReplica.inFlight;
}

namespace {

void
Release(Replica& aReplica)
{
  assert(aReplica.inFlight > 0);
  --aReplica.inFlight;
}

void
AddSample(Replica& aReplica, double aMillis)
{
  // The arithmetic mean for the first samples, so that the very first one is not overweighted.
  double weight = std::max(kLatencySmoothing, 1.0 / static_cast<double>(aReplica.samples + 1));
  aReplica.latencyMs += weight * (aMillis - aReplica.latencyMs);
  ++aReplica.samples;
}

} // namespace

void
OnAnswered(Replica& aReplica, base::Duration aLatency, base::Instant aNow)
{
  Release(aReplica);
  AddSample(aReplica, base::ToFractionalMillis(aLatency));
  aReplica.consecutiveFailures = 0;
  aReplica.consecutiveSheds = 0;
  double maxLimit = static_cast<double>(aReplica.maxInFlight);
  aReplica.limit = std::min(maxLimit, aReplica.limit + kLimitIncrease);
  if (aReplica.inSlowStart && aNow >= aReplica.slowStartAt + kSlowStart) {
    aReplica.inSlowStart = false;
    aReplica.ejections = 0;
  }
}

void
OnAbandoned(Replica& aReplica, base::Duration aElapsed)
{
  Release(aReplica);
  double elapsed = base::ToFractionalMillis(aElapsed);
  if (elapsed >= aReplica.latencyMs) {
    AddSample(aReplica, elapsed);
  }
}

void
OnFailed(Replica& aReplica, FailureKind aKind, base::Instant)
{
  Release(aReplica);
  // One failed connection is enough for an ejection. Other failures may be caused by the request.
  aReplica.consecutiveFailures += aKind == FailureKind::ConnectFailed ? kFailuresToEject : 1;
}

void
OnRefused(Replica& aReplica)
{
  Release(aReplica);
}

void
OnShed(Replica& aReplica, base::Instant aNow, base::Random& aRandom)
{
  Release(aReplica);
  aReplica.limit = std::max(1.0, aReplica.limit * kShedDecreaseFactor);
  size_t doublings = std::min(aReplica.consecutiveSheds, kMaxBackoffDoublings);
  ++aReplica.consecutiveSheds;
  double jitter = 0.5 + base::UniformUnit(aRandom);
  double span = static_cast<double>((kBaseBackoff * (1 << doublings)).count()) * jitter;
  aReplica.backoffUntil = aNow + base::Duration(static_cast<int64_t>(span));
}

void
OnLoadReport(Replica& aReplica, double aLoad, base::Instant aNow)
{
  aReplica.reportedLoad = aLoad;
  aReplica.reportedAt = aNow;
}

void
BeginSlowStart(Replica& aReplica, base::Instant aNow)
{
  aReplica.inSlowStart = true;
  aReplica.slowStartAt = aNow;
}

std::vector<size_t>
EjectOutliers(std::span<Replica> aReplicas, base::Instant aNow)
{
  size_t serving = 0;
  size_t ejected = 0;
  for (const Replica& replica : aReplicas) {
    serving += replica.leaving ? 0 : 1;
    ejected += !replica.leaving && aNow < replica.ejectedUntil ? 1 : 0;
  }
  std::vector<size_t> newlyEjected;
  for (size_t index = 0; index < aReplicas.size(); ++index) {
    Replica& replica = aReplicas[index];
    if (replica.leaving || aNow < replica.ejectedUntil || ejected + 1 > serving / 2) {
      continue;
    }
    if (IsOutlier(aReplicas, index)) {
      Eject(replica, aNow);
      ++ejected;
      newlyEjected.push_back(index);
    }
  }
  return newlyEjected;
}

} // namespace sapphirewind::routing
