#include <load/Plot.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace sapphirewind::load {

namespace {

constexpr double kWidth = 720.0;
constexpr double kHeight = 420.0;
constexpr double kLeft = 60.0;
constexpr double kBottom = 40.0;
constexpr double kTop = 20.0;
constexpr double kLowestMs = 1.0;
constexpr double kHighestMs = 10'000.0;
constexpr size_t kPoints = 200;
constexpr const char* kColours[] = { "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910" };

double
X(double aMillis)
{
  double clamped = std::clamp(aMillis, kLowestMs, kHighestMs);
  double share = std::log10(clamped / kLowestMs) / std::log10(kHighestMs / kLowestMs);
  return kLeft + share * (kWidth - kLeft - 20.0);
}

double
Y(double aShare)
{
  return kHeight - kBottom - aShare * (kHeight - kBottom - kTop);
}

void
DrawAxes(std::ostringstream& aOut)
{
  for (double millis = kLowestMs; millis <= kHighestMs; millis *= 10.0) {
    aOut << "<line x1='" << X(millis) << "' y1='" << Y(0) << "' x2='" << X(millis) << "' y2='"
         << Y(1) << "' stroke='#ddd'/><text x='" << X(millis) - 12 << "' y='" << Y(0) + 18 << "'>"
         << millis << "</text>\n";
  }
  for (double share : { 0.0, 0.25, 0.5, 0.75, 1.0 }) {
    aOut << "<line x1='" << kLeft << "' y1='" << Y(share) << "' x2='" << kWidth - 20 << "' y2='"
         << Y(share) << "' stroke='#ddd'/><text x='20' y='" << Y(share) + 4 << "'>" << share
         << "</text>\n";
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
  size_t line = 0;
  for (const std::string& name : aClasses) {
    std::vector<double> latencies = SortedLatencies(aSamples, name);
    if (latencies.empty()) {
      continue;
    }
    const char* colour = kColours[line % std::size(kColours)];
    out << "<polyline fill='none' stroke-width='1.5' stroke='" << colour << "' points='";
    for (size_t point = 0; point <= kPoints; ++point) {
      double share = static_cast<double>(point) / static_cast<double>(kPoints);
      auto index = static_cast<size_t>(share * static_cast<double>(latencies.size() - 1));
      out << X(latencies[index]) << "," << Y(share) << " ";
    }
    out << "'/>\n<text x='" << kLeft + 10 << "' y='" << kTop + 14.0 * static_cast<double>(line + 1)
        << "' fill='" << colour << "'>" << name << "</text>\n";
    ++line;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace sapphirewind::load
