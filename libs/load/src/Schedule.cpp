#include <load/Load.h>

#include <algorithm>
#include <base/Random.h>
#include <cmath>
#include <regex>

namespace sapphirewind::load {

namespace {

base::Duration
Seconds(const std::string& aText)
{
  return base::FromFractionalMillis(std::stod(aText) * 1000.0);
}

std::optional<Stream>
ParseStream(const std::string& aText, base::Duration aLength)
{
  static const std::regex kPattern(
    R"((book/)?([a-z][a-z0-9_-]*):(\d+(?:\.\d+)?)(?:\.\.(\d+(?:\.\d+)?))?(?:@(\d+(?:\.\d+)?)-(\d+(?:\.\d+)?))?)");
  std::smatch match;
  if (!std::regex_match(aText, match, kPattern)) {
    return std::nullopt;
  }
  Stream stream{ .className = match[2],
                 .booking = match[1].matched,
                 .ratePerSecond = std::stod(match[3]),
                 .rateAtEnd = 0.0,
                 .from = base::Duration(0),
                 .to = aLength };
  stream.rateAtEnd = match[4].matched ? std::stod(match[4]) : stream.ratePerSecond;
  if (match[5].matched) {
    stream.from = Seconds(match[5]);
    stream.to = Seconds(match[6]);
  }
  return stream;
}

/// The rate at a moment of a stream's span.
double
RateAt(const Stream& aStream, base::Duration aTime)
{
  double share = static_cast<double>((aTime - aStream.from).count()) /
                 std::max(1.0, static_cast<double>((aStream.to - aStream.from).count()));
  return aStream.ratePerSecond + (aStream.rateAtEnd - aStream.ratePerSecond) * share;
}

} // namespace

std::vector<Stream>
ParseStreams(const std::string& aText, base::Duration aLength, std::string& aError)
{
  static const std::regex kComma(",");
  std::vector<Stream> streams;
  std::sregex_token_iterator part(aText.begin(), aText.end(), kComma, -1);
  for (; part != std::sregex_token_iterator(); ++part) {
    std::optional<Stream> stream = ParseStream(*part, aLength);
    if (!stream) {
      aError = "cannot read \"" + std::string(*part) + "\"; write CLASS:RATE[..RATE][@FROM-TO]";
      return {};
    }
    streams.push_back(*stream);
  }
  return streams;
}

std::vector<Arrival>
Schedule(const std::vector<Stream>& aStreams, uint64_t aSeed)
{
  std::vector<Arrival> arrivals;
  for (size_t index = 0; index < aStreams.size(); ++index) {
    const Stream& stream = aStreams[index];
    base::Random random(base::CombineHash(aSeed, std::to_string(index)));
    double highest = std::max(stream.ratePerSecond, stream.rateAtEnd);
    if (highest <= 0.0) {
      continue;
    }
    // Poisson arrivals of a changing rate, by thinning those of the highest.
    double at = std::chrono::duration<double>(stream.from).count();
    double end = std::chrono::duration<double>(stream.to).count();
    while (true) {
      at += -std::log(1.0 - base::UniformUnit(random)) / highest;
      if (at >= end) {
        break;
      }
      base::Duration time = base::FromFractionalMillis(at * 1000.0);
      if (base::UniformUnit(random) * highest <= RateAt(stream, time)) {
        arrivals.push_back(Arrival{ .at = time, .stream = index, .number = 0 });
      }
    }
  }
  std::stable_sort(
    arrivals.begin(), arrivals.end(), [](const Arrival& aLeft, const Arrival& aRight) {
      return aLeft.at < aRight.at;
    });
  for (size_t number = 0; number < arrivals.size(); ++number) {
    arrivals[number].number = number;
  }
  return arrivals;
}

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  auto rank = static_cast<size_t>(std::ceil(aShare * static_cast<double>(aValues.size())));
  size_t index = std::min(aValues.size() - 1, rank > 0 ? rank - 1 : 0);
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(index), aValues.end());
  return aValues[index];
}

Summary
Summarise(const std::vector<Sample>& aSamples,
          const std::string& aClass,
          base::Duration aTarget,
          base::Duration aFrom,
          base::Duration aTo)
{
  Summary summary;
  summary.className = aClass;
  std::vector<double> latencies;
  std::vector<double> refusals;
  double coverage = 0.0;
  for (const Sample& sample : aSamples) {
    if (sample.className != aClass || sample.at < aFrom || sample.at >= aTo) {
      continue;
    }
    ++summary.sent;
    double millis = base::ToFractionalMillis(sample.latency);
    bool bookingDone = sample.booking && sample.status == 200;
    bool searchAnswered = !sample.booking && sample.answered > 0;
    if (sample.status == 0) {
      ++summary.lost;
    } else if (bookingDone || searchAnswered) {
      ++summary.answered;
      latencies.push_back(millis);
      bool whole = bookingDone || sample.answered == sample.total;
      summary.whole += whole ? 1 : 0;
      summary.inTarget += whole && sample.latency <= aTarget ? 1 : 0;
      coverage += bookingDone
                    ? 1.0
                    : static_cast<double>(sample.answered) / static_cast<double>(sample.total);
    } else if (sample.outcome == model::Outcome::NotRun) {
      ++summary.refused;
      summary.refusedWithRetryAfter += sample.retryAfter ? 1 : 0;
      refusals.push_back(millis);
    } else {
      ++summary.unknown;
    }
  }
  summary.p50Ms = Percentile(latencies, 0.5);
  summary.p95Ms = Percentile(latencies, 0.95);
  summary.p99Ms = Percentile(latencies, 0.99);
  summary.p999Ms = Percentile(latencies, 0.999);
  summary.refusedP99Ms = Percentile(refusals, 0.99);
  summary.coverage = summary.answered > 0 ? coverage / static_cast<double>(summary.answered) : 0.0;
  return summary;
}

} // namespace sapphirewind::load
