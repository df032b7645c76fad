#include <dispatch/Upstream.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sapphirewind::dispatch {

namespace {

/// One answer moves the learnt slowness by this factor at most, so that one pause does not make a
/// server slow, and a run of slow answers does.
constexpr double kFastestRise = 1.35;
constexpr double kFastestFall = 0.8;
constexpr double kLeastSlowness = 0.5;
constexpr double kMostSlowness = 50.0;
/// The weight of one answer in a route's mean work.
constexpr double kWorkWeight = 0.05;
/// A request is overdue after this many times its expected latency and a little scheduling time.
constexpr int kOverdueFactor = 2;
constexpr base::Duration kOverdueSlack = std::chrono::milliseconds(10);
/// The weight of one attempt in the share of failures.
constexpr double kFailureWeight = 0.1;
/// Equal servers share the work because each comparison is blurred by up to this part.
constexpr double kBlur = 0.1;
constexpr unsigned kFailuresToEject = 2;

base::Duration
Scale(base::Duration aDuration, double aFactor)
{
  return base::Duration(static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// The part that is left of what was learnt at a time.
double
Remaining(base::Instant aLearntAt, base::Instant aNow)
{
  double halfLives = static_cast<double>((aNow - aLearntAt).count()) /
                     static_cast<double>(kSlowdownHalfLife.count());
  return std::exp2(-std::max(0.0, halfLives));
}

double
SlownessNow(const Upstream& aUpstream, base::Instant aNow)
{
  double learnt = 1.0 + (aUpstream.slowdown - 1.0) * Remaining(aUpstream.slowdownAt, aNow);
  return aNow < aUpstream.coldUntil ? std::max(learnt, kColdStartSlowdown) : learnt;
}

/// How long the most overdue request is overdue. A server that stalled for some time is expected
/// to go on for as long again.
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
LearnSlowness(Upstream& aUpstream, double aSample, base::Instant aNow)
{
  double current = SlownessNow(aUpstream, aNow);
  double step = std::clamp(aSample / current, kFastestFall, kFastestRise);
  aUpstream.slowdown = std::clamp(current * step, kLeastSlowness, kMostSlowness);
  aUpstream.slowdownAt = aNow;
}

double
FailureShareNow(const Upstream& aUpstream, base::Instant aNow)
{
  return aUpstream.failureRate * Remaining(aUpstream.failureRateAt, aNow);
}

void
LearnFailure(Upstream& aUpstream, bool aFailed, base::Instant aNow)
{
  double share = FailureShareNow(aUpstream, aNow);
  aUpstream.failureRate = share + kFailureWeight * ((aFailed ? 1.0 : 0.0) - share);
  aUpstream.failureRateAt = aNow;
}

/// What sending there costs: the latency to expect, and the risk of having to send again.
base::Duration
ExpectedCost(const Upstream& aUpstream, const ServiceTimeEstimate& aWork, base::Instant aNow)
{
  return ExpectedLatency(aUpstream, aWork, aNow) +
         Scale(kFailurePenalty, FailureShareNow(aUpstream, aNow));
}

void
LearnWork(ServiceTimeEstimate& aWork, base::Duration aService)
{
  double weight = std::max(kWorkWeight, 1.0 / static_cast<double>(aWork.samples + 1));
  double most = aWork.samples > 20 ? 4.0 : 1000.0;
  base::Duration sample = std::min(aService, Scale(aWork.mean, most));
  aWork.mean += Scale(sample - aWork.mean, weight);
  aWork.mean = std::max(aWork.mean, base::Duration(100));
  ++aWork.samples;
}

std::optional<OutstandingRequest>
Take(Upstream& aUpstream, uint64_t aRequest)
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
ExpectedLatency(const Upstream& aUpstream, const ServiceTimeEstimate& aWork, base::Instant aNow)
{
  size_t work = aUpstream.outstanding.size();
  if (aNow - aUpstream.reportedAt < kLoadReportLifetime) {
    work = std::max<size_t>(work, aUpstream.reportedLoad);
  }
  size_t slots = std::max(1U, aUpstream.slots);
  double ahead = work < slots ? 0.0 : static_cast<double>(work - slots + 1);
  double rounds = 1.0 + ahead / static_cast<double>(slots);
  base::Duration service = Scale(aWork.mean, SlownessNow(aUpstream, aNow) * rounds);
  return aUpstream.roundTrip + service + LongestOverdue(aUpstream, aNow);
}

bool
HasCapacity(const Upstream& aUpstream)
{
  return !aUpstream.draining && aUpstream.outstanding.size() < aUpstream.maxInFlight;
}

bool
IsEjected(const Upstream& aUpstream, base::Instant aNow)
{
  return aNow < aUpstream.ejectedUntil;
}

std::optional<size_t>
ChooseUpstream(std::span<const Upstream* const> aUpstreams,
               const std::vector<size_t>& aTried,
               const ServiceTimeEstimate& aWork,
               base::Instant aNow,
               base::Random& aRandom)
{
  std::optional<size_t> best;
  bool bestEjected = false;
  double bestCost = 0.0;
  for (size_t index = 0; index < aUpstreams.size(); ++index) {
    const Upstream& upstream = *aUpstreams[index];
    bool tried = std::find(aTried.begin(), aTried.end(), index) != aTried.end();
    if (tried || !HasCapacity(upstream)) {
      continue;
    }
    bool ejected = IsEjected(upstream, aNow);
    double blur = 1.0 + kBlur * base::UniformUnit(aRandom);
    double cost = static_cast<double>(ExpectedCost(upstream, aWork, aNow).count()) * blur;
    bool better = !best || (bestEjected && !ejected) || (bestEjected == ejected && cost < bestCost);
    if (better) {
      best = index;
      bestEjected = ejected;
      bestCost = cost;
    }
  }
  return best;
}

void
OnSent(Upstream& aUpstream, uint64_t aRequest, base::Duration aExpected, base::Instant aNow)
{
  assert(aUpstream.outstanding.count(aRequest) == 0 && "request ids are unique");
  aUpstream.outstanding.emplace(aRequest,
                                OutstandingRequest{ .sentAt = aNow, .expected = aExpected });
}

void
OnAnswered(Upstream& aUpstream, ServiceTimeEstimate& aWork, uint64_t aRequest, base::Instant aNow)
{
  std::optional<OutstandingRequest> request = Take(aUpstream, aRequest);
  if (!request) {
    return;
  }
  aUpstream.consecutiveFailures = 0;
  LearnFailure(aUpstream, false, aNow);
  base::Duration service =
    std::max<base::Duration>(aNow - request->sentAt - aUpstream.roundTrip, base::Duration(100));
  double usual = static_cast<double>(aWork.mean.count());
  if (aWork.samples > 0) {
    LearnSlowness(aUpstream, static_cast<double>(service.count()) / usual, aNow);
  }
  LearnWork(aWork, service);
}

void
OnRefused(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow)
{
  Take(aUpstream, aRequest);
  LearnFailure(aUpstream, true, aNow);
  // A refusal means a full queue: count it as such until the server reports otherwise.
  aUpstream.reportedLoad = std::max(aUpstream.reportedLoad, aUpstream.slots * 4);
  aUpstream.reportedAt = aNow;
}

void
OnCancelled(Upstream& aUpstream,
            const ServiceTimeEstimate& aWork,
            uint64_t aRequest,
            base::Instant aNow)
{
  std::optional<OutstandingRequest> request = Take(aUpstream, aRequest);
  if (!request) {
    return;
  }
  base::Duration elapsed = aNow - request->sentAt - aUpstream.roundTrip;
  double sample = static_cast<double>(elapsed.count()) / static_cast<double>(aWork.mean.count());
  if (sample > SlownessNow(aUpstream, aNow)) {
    LearnSlowness(aUpstream, sample, aNow);
  }
}

void
OnFailed(Upstream& aUpstream, uint64_t aRequest, base::Instant aNow)
{
  Take(aUpstream, aRequest);
  LearnFailure(aUpstream, true, aNow);
  ++aUpstream.consecutiveFailures;
  if (aUpstream.consecutiveFailures < kFailuresToEject) {
    return;
  }
  unsigned doublings = std::min(aUpstream.consecutiveFailures - kFailuresToEject, 6U);
  base::Duration ejection =
    std::min<base::Duration>(kBaseEjectionTime * (1U << doublings), kMaxEjectionTime);
  aUpstream.ejectedUntil = aNow + ejection;
}

void
OnLoadReport(Upstream& aUpstream, const LoadReport& aReport, base::Instant aNow)
{
  aUpstream.reportedLoad = aReport.running + aReport.waiting;
  aUpstream.reportedAt = aNow;
  if (aReport.slots > 0) {
    aUpstream.slots = aReport.slots;
  }
}

} // namespace sapphirewind::dispatch
