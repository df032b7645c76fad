#include <load/Plot.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace sapphirewind::load {

namespace {

constexpr double kWidth = 720.0;
constexpr double kHeight = 420.0;
constexpr double kLeftMargin = 60.0;
constexpr double kBottomMargin = 40.0;
constexpr double kTopMargin = 20.0;
constexpr double kMinLatencyMs = 1.0;
constexpr double kMaxLatencyMs = 10'000.0;
constexpr size_t kPointsPerLine = 200;
constexpr const char* kColours[] = { "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910" };

double
XPosition(double aMillis)
{
  double clamped = std::clamp(aMillis, kMinLatencyMs, kMaxLatencyMs);
  double fraction = std::log10(clamped / kMinLatencyMs) / std::log10(kMaxLatencyMs / kMinLatencyMs);
  return kLeftMargin + fraction * (kWidth - kLeftMargin - 20.0);
}

double
YPosition(double aFraction)
{
  return kHeight - kBottomMargin - aFraction * (kHeight - kBottomMargin - kTopMargin);
}

void
DrawAxes(std::ostringstream& aOut)
{
  for (double millis = kMinLatencyMs; millis <= kMaxLatencyMs; millis *= 10.0) {
    aOut << "<line x1='" << XPosition(millis) << "' y1='" << YPosition(0) << "' x2='"
         << XPosition(millis) << "' y2='" << YPosition(1) << "' stroke='#ddd'/><text x='"
         << XPosition(millis) - 12 << "' y='" << YPosition(0) + 18 << "'>" << millis << "</text>\n";
  }
  for (double fraction : { 0.0, 0.25, 0.5, 0.75, 1.0 }) {
    aOut << "<line x1='" << kLeftMargin << "' y1='" << YPosition(fraction) << "' x2='"
         << kWidth - 20 << "' y2='" << YPosition(fraction) << "' stroke='#ddd'/><text x='20' y='"
         << YPosition(fraction) + 4 << "'>" << fraction << "</text>\n";
  }
  aOut << "<text x='" << kWidth / 2 << "' y='" << kHeight - 4 << "'>latency, ms</text>\n";
}

std::vector<double>
SortedLatencies(const std::vector<Sample>& aSamples, const std::string& aClass)
{
  std::vector<double> latencies;
  for (const Sample& sample : aSamples) {
    bool answered = sample.booking ? sample.status == 200 : sample.answeredShards > 0;
    if (sample.className == aClass && answered) {
      latencies.push_back(base::ToFractionalMillis(sample.latency));
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

} // namespace

std::string
PlotLatencies(const std::vector<Sample>& aSamples, const std::vector<std::string>& aClasses)
{
  std::ostringstream out;
  out << std::setprecision(4);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth << "' height='" << kHeight
      << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' "
         "fill='white'/>\n";
  DrawAxes(out);
  size_t lineIndex = 0;
  for (const std::string& name : aClasses) {
    std::vector<double> latencies = SortedLatencies(aSamples, name);
    if (latencies.empty()) {
      continue;
    }
    const char* colour = kColours[lineIndex % std::size(kColours)];
    out << "<polyline fill='none' stroke-width='1.5' stroke='" << colour << "' points='";
    for (size_t point = 0; point <= kPointsPerLine; ++point) {
      double fraction = static_cast<double>(point) / static_cast<double>(kPointsPerLine);
      auto index = static_cast<size_t>(fraction * static_cast<double>(latencies.size() - 1));
      out << XPosition(latencies[index]) << "," << YPosition(fraction) << " ";
    }
    out << "'/>\n<text x='" << kLeftMargin + 10 << "' y='"
        << kTopMargin + 14.0 * static_cast<double>(lineIndex + 1) << "' fill='" << colour << "'>"
        << name << "</text>\n";
    ++lineIndex;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace sapphirewind::load
