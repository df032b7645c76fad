#include <dispatch/Upstream.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <dispatch/Restriction.h>

namespace sapphirewind::dispatch {

namespace {

/// Bounds on the factor by which one answer changes the slowdown, so that it rises after a series
/// of slow answers and not after a single pause.
constexpr double kMaxSlowdownIncrease = 1.35;
constexpr double kMaxSlowdownDecrease = 0.8;
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 50.0;
/// Minimum weight of one answer in the moving average of a route's service time.
constexpr double kServiceTimeWeight = 0.05;
/// A request is overdue after this multiple of its expected latency plus a slack for scheduling.
constexpr int kOverdueFactor = 2;
constexpr base::Duration kOverdueSlack = std::chrono::milliseconds(10);
/// Weight of one attempt in the moving average of the failure rate.
constexpr double kFailureRateWeight = 0.1;
/// Maximum random increase of a cost, as a fraction, which spreads requests over equal servers.
constexpr double kCostJitter = 0.1;
constexpr unsigned kEjectionThreshold = 2;
/// A server in another region is selected only if it is expected to be faster by this multiple of
/// its round-trip time, as traffic between regions is charged and its delay varies.
constexpr double kRemoteMargin = 2.0;
/// Reported slowdowns are clamped to this range.
constexpr double kMinReportedSlowdown = 0.5;
constexpr double kMaxReportedSlowdown = 10.0;

base::Duration
Scale(base::Duration aDuration, double aFactor)
{
  return base::Duration(static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// Fraction that remains of a value's deviation since its last update.
double
DecayFactor(base::Instant aUpdatedAt,
            base::Instant aNow,
            base::Duration aHalfLife = kSlowdownHalfLife)
{
  double halfLives =
    static_cast<double>((aNow - aUpdatedAt).count()) / static_cast<double>(aHalfLife.count());
  return std::exp2(-std::max(0.0, halfLives));
}

double
CurrentSlowdown(const Upstream& aUpstream, base::Instant aNow)
{
  double decayed = 1.0 + (aUpstream.slowdown - 1.0) * DecayFactor(aUpstream.slowdownAt, aNow);
  return aNow < aUpstream.coldUntil ? std::max(decayed, kColdStartSlowdown) : decayed;
}

/// The reported slowdown of the server's machine, decayed by the age of the report.
double
CurrentReportedSlowdown(const Upstream& aUpstream, base::Instant aNow)
{
  double remaining = DecayFactor(aUpstream.reportedSlowdownAt, aNow, kReportedSlowdownHalfLife);
  return 1.0 + (aUpstream.reportedSlowdown - 1.0) * remaining;
}

/// Overdue time of the most overdue request. It is added to the expected latency on the assumption
/// that a stall lasts as long again as it has lasted so far.
base::Duration
LongestOverdue(const Upstream& aUpstream, base::Instant aNow)
{
  base::Duration longest{ 0 };
  for (const auto& [id, request] : aUpstream.outstanding) {
    base::Duration age = aNow - request.sentAt;
    longest = std::max(longest, age - request.expected * kOverdueFactor - kOverdueSlack);
  }
  return longest;
}

void
UpdateSlowdown(Upstream& aUpstream, double aSample, base::Instant aNow)
{
  double current = CurrentSlowdown(aUpstream, aNow);
  double step = std::clamp(aSample / current, kMaxSlowdownDecrease, kMaxSlowdownIncrease);
  aUpstream.slowdown = std::clamp(current * step, kMinSlowdown, kMaxSlowdown);
  aUpstream.slowdownAt = aNow;
}

double
CurrentFailureRate(const Upstream& aUpstream, base::Instant aNow)
{
  return aUpstream.failureRate * DecayFactor(aUpstream.failureRateAt, aNow);
}

void
UpdateFailureRate(Upstream& aUpstream, bool aFailed, base::Instant aNow)
{
  double rate = CurrentFailureRate(aUpstream, aNow);
  aUpstream.failureRate = rate + kFailureRateWeight * ((aFailed ? 1.0 : 0.0) - rate);
  aUpstream.failureRateAt = aNow;
}

/// Cost of sending a request to the server: the expected latency, the risk of a failure and the
/// margin for another region.
base::Duration
ExpectedCost(const Upstream& aUpstream, const ServiceTimeEstimate& aServiceTime, base::Instant aNow)
{
  return ExpectedLatency(aUpstream, aServiceTime, aNow) +
         Scale(kFailurePenalty, CurrentFailureRate(aUpstream, aNow)) +
         (aUpstream.isRemote ? Scale(aUpstream.roundTrip, kRemoteMargin) : base::Duration(0));
}

void
UpdateServiceTime(ServiceTimeEstimate& aServiceTime, base::Duration aService)
{
  double weight = std::max(kServiceTimeWeight, 1.0 / static_cast<double>(aServiceTime.samples + 1));
  double maxFactor = aServiceTime.samples > 20 ? 4.0 : 1000.0;
  base::Duration sample = std::min(aService, Scale(aServiceTime.mean, maxFactor));
  aServiceTime.mean += Scale(sample - aServiceTime.mean, weight);
  aServiceTime.mean = std::max(aServiceTime.mean, base::Duration(100));
  ++aServiceTime.samples;
}

std::optional<OutstandingRequest>
RemoveOutstanding(Upstream& aUpstream, uint64_t aRequest)
{
  auto found = aUpstream.outstanding.find(aRequest);
  if (found == aUpstream.outstanding.end()) {
    return std::nullopt;
  }
  OutstandingRequest request = found->second;
  aUpstream.outstanding.erase(found);
  return request;
}

} // namespace

base::Duration
ExpectedLatency(const Upstream& aUpstream,
                const ServiceTimeEstimate& aServiceTime,
                base::Instant aNow)
{
  size_t load = aUpstream.outstanding.size();
  if (aNow - aUpstream.reportedAt < kLoadReportLifetime) {
    load = std::max<size_t>(load, aUpstream.reportedLoad);
  }
  size_t slots = std::max(1U, aUpstream.slots);
  double queued = load < slots ? 0.0 : static_cast<double>(load - slots + 1);
  double rounds = 1.0 + queued / static_cast<double>(slots);
  double slowdown = CurrentSlowdown(aUpstream, aNow) * CurrentReportedSlowdown(aUpstream, aNow);
  base::Duration service = Scale(aServiceTime.mean, slowdown * rounds);
  return aUpstream.roundTrip + service + LongestOverdue(aUpstream, aNow);
}

bool
IsEjected(const Upstream& aUpstream, base::Instant aNow)
{
  return aNow < aUpstream.ejectedUntil;
}

std::optional<size_t>
ChooseUpstream(std::span<const Upstream* const> aUpstreams,
               const std::vector<size_t>& aExcluded,
               const ServiceTimeEstimate& aServiceTime,
               base::Instant aNow,
               base::Random& aRandom)
{
  std::optional<size_t> best;
  Restriction bestRestriction = Restriction::None;
  double bestCost = 0.0;
  for (size_t index = 0; index < aUpstreams.size(); ++index) {
    const Upstream& upstream = *aUpstreams[index];
    bool isExcluded = std::find(aExcluded.begin(), aExcluded.end(), index) != aExcluded.end();
    Restriction restriction = RestrictionOf(upstream, aNow);
    if (isExcluded || IsForbidden(restriction)) {
      continue;
    }
    double jitter = 1.0 + kCostJitter * base::UniformUnit(aRandom);
    double cost = static_cast<double>(ExpectedCost(upstream, aServiceTime, aNow).count()) * jitter;
    bool isBetter =
      !best || restriction < bestRestriction || (restriction == bestRestriction && cost < bestCost);
    if (isBetter) {
      best = index;
      bestRestriction = restriction;
      bestCost = cost;
    }
  }
  return best;
}

void
OnSent(Upstream& aUpstream, uint64_t aRequest, base::Duration aExpected, base::Instant aNow)
{
  assert(aUpstream.outstanding.count(aRequest) == 0 && "an upstream request id must be unique");
  aUpstream.outstanding.emplace(aRequest,
                                OutstandingRequest{ .sentAt = aNow, .expected = aExpected });
  if (aUpstream.rateLimit && HasPermit(*aUpstream.rateLimit)) {
    UsePermit(*aUpstream.rateLimit);
  }
}

void
OnAnswered(Upstream& aUpstream,
           ServiceTimeEstimate& aServiceTime,
           uint64_t aRequest,
           base::Instant aNow)
{
  std::optional<OutstandingRequest> request = RemoveOutstanding(aUpstream, aRequest);
  if (!request) {
    return;
  }
  aUpstream.consecutiveFailures = 0;
  UpdateFailureRate(aUpstream, false, aNow);
  base::Duration service =
    std::max<base::Duration>(aNow - request->sentAt - aUpstream.roundTrip, base::Duration(100));
  double expected = static_cast<double>(aServiceTime.mean.count());
  if (aServiceTime.samples > 0) {
    // The machine's slowdown is reported with the answer; the rest is the server's own slowdown.
    double pace = CurrentReportedSlowdown(aUpstream, aNow);
    UpdateSlowdown(aUpstream, static_cast<double>(service.count()) / (expected * pace), aNow);
  }
  UpdateServiceTime(aServiceTime, service);
}

void
OnRefused(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow)
{
  RemoveOutstanding(aUpstream, aRequest);
  UpdateFailureRate(aUpstream, true, aNow);
  // A refusal implies a full queue: assume one until the next load report or until this expires.
  aUpstream.reportedLoad = std::max(aUpstream.reportedLoad, aUpstream.slots * 4);
  aUpstream.reportedAt = aNow;
}

void
OnCancelled(Upstream& aUpstream,
            const ServiceTimeEstimate& aServiceTime,
            uint64_t aRequest,
            base::Instant aNow)
{
  std::optional<OutstandingRequest> request = RemoveOutstanding(aUpstream, aRequest);
  if (!request) {
    return;
  }
  base::Duration elapsed = aNow - request->sentAt - aUpstream.roundTrip;
  double sample =
    static_cast<double>(elapsed.count()) / static_cast<double>(aServiceTime.mean.count());
  if (sample > CurrentSlowdown(aUpstream, aNow)) {
    UpdateSlowdown(aUpstream, sample, aNow);
  }
}

void
OnFailed(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow)
{
  RemoveOutstanding(aUpstream, aRequest);
  UpdateFailureRate(aUpstream, true, aNow);
  ++aUpstream.consecutiveFailures;
  if (aUpstream.consecutiveFailures < kEjectionThreshold) {
    return;
  }
  unsigned doublings = std::min(aUpstream.consecutiveFailures - kEjectionThreshold, 6U);
  base::Duration duration =
    std::min<base::Duration>(kBaseEjectionTime * (1U << doublings), kMaxEjectionTime);
  aUpstream.ejectedUntil = aNow + duration;
}

void
OnRateReport(Upstream& aUpstream, const RateReport& aReport, base::Instant aNow)
{
  if (aReport.sentAt < aUpstream.rateReportSentAt) {
    return;
  }
  aUpstream.rateReportSentAt = aReport.sentAt;
  if (!aReport.perSecond) {
    aUpstream.rateLimit.reset();
    return;
  }
  RateLimitOptions options{ .server = aUpstream.permitSeed,
                            .serverRate = *aReport.perSecond,
                            .arc = aUpstream.permitArc,
                            .wallOffset = aReport.wallOffset };
  if (aUpstream.rateLimit) {
    UpdateRateLimit(*aUpstream.rateLimit, options, aNow);
  } else {
    aUpstream.rateLimit = MakeRateLimit(options, aNow);
  }
}

void
SetPermitArc(Upstream& aUpstream, const InstanceArc& aArc, base::Instant aNow)
{
  aUpstream.permitArc = aArc;
  if (aUpstream.rateLimit) {
    RateLimitOptions options = aUpstream.rateLimit->options;
    options.arc = aArc;
    UpdateRateLimit(*aUpstream.rateLimit, options, aNow);
  }
}

void
IssuePermits(Upstream& aUpstream, base::Instant aNow)
{
  if (aUpstream.rateLimit) {
    IssuePermits(*aUpstream.rateLimit, aNow);
  }
}

void
OnLoadReport(Upstream& aUpstream, const LoadReport& aReport, base::Instant aNow)
{
  aUpstream.reportedLoad = aReport.running + aReport.waiting;
  aUpstream.reportedAt = aNow;
  if (aReport.slots > 0) {
    aUpstream.slots = aReport.slots;
  }
  if (aReport.workPercent) {
    aUpstream.reportedSlowdown =
      std::clamp(*aReport.workPercent / 100.0, kMinReportedSlowdown, kMaxReportedSlowdown);
    aUpstream.reportedSlowdownAt = aNow;
  }
}

} // namespace sapphirewind::dispatch
