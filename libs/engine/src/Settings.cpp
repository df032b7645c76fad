#include <engine/Settings.h>

#include <algorithm>
#include <engine/Asio.h>

namespace sapphirewind::engine {

namespace {

/// An unresponsive connection to the store is detected, and the store relisted, this long before
/// the end of the stability window, after which the platform checks the limits again.
constexpr base::Duration kDetectionMargin = std::chrono::milliseconds(1900);
constexpr base::Duration kMinWatchWait = std::chrono::milliseconds(1000);

std::string
ReadAddress(document::ObjectReader& aReader, const char* aName)
{
  std::string address = aReader.RequiredString(aName);
  if (!address.empty() && !ParseEndpoint(address)) {
    aReader.AddProblem(aName, "must be an IP address and port such as 10.0.0.1:80");
  }
  return address;
}

double
ReadNumber(document::ObjectReader& aReader,
           const Json::Value& aObject,
           const char* aName,
           double aMax)
{
  aReader.MarkKnown(aName);
  const Json::Value& value = aObject[aName];
  bool isValid = value.isNumeric() && value.asDouble() >= 0.0 && value.asDouble() <= aMax;
  if (!isValid) {
    aReader.AddProblem(aName, "must be a number from 0 to " + std::to_string(aMax));
    return 0.0;
  }
  return value.asDouble();
}

} // namespace

std::optional<Settings>
ParseSettings(std::string_view aText, document::Problems& aProblems)
{
  constexpr double kMaxExtraMinimum = 1e6;
  constexpr int64_t kMaxDescriptors = 1'000'000;
  std::optional<document::Document> document = document::Document::Parse(aText, aProblems);
  if (!document) {
    return std::nullopt;
  }
  const Json::Value& root = document->Root();
  document::ObjectReader reader(*document, root, "", aProblems);
  Settings settings;
  settings.instance = reader.RequiredString("instance");
  settings.zone = reader.RequiredString("zone");
  settings.callerAddress = ReadAddress(reader, "listen_callers");
  settings.statusAddress = ReadAddress(reader, "listen_status");
  settings.metricsAddress = ReadAddress(reader, "listen_metrics");
  settings.peerAddress = ReadAddress(reader, "listen_peers");
  settings.storeAddress = ReadAddress(reader, "store");
  settings.firstStart = reader.OptionalBoolean("first_start", false);
  settings.maxDescriptors =
    static_cast<unsigned>(reader.RequiredInteger("max_descriptors", 64, kMaxDescriptors));
  base::Duration stability = reader.RequiredDuration("stability_window");
  settings.watchWait = std::max<base::Duration>(kMinWatchWait, stability - kDetectionMargin);
  settings.drain = reader.RequiredDuration("drain");
  settings.extraWindow = reader.RequiredDuration("extra_window");
  settings.stopWithin = reader.RequiredDuration("stop_within");
  if (const Json::Value* regions = reader.RequiredObject("regions")) {
    for (const std::string& zone : regions->getMemberNames()) {
      settings.regions[zone] = (*regions)[zone].asString();
    }
  }
  if (root.isObject()) {
    settings.extraShare = ReadNumber(reader, root, "extra_share", 1.0);
    settings.extraMinimum = ReadNumber(reader, root, "extra_minimum", kMaxExtraMinimum);
  }
  reader.RejectUnknown();
  if (!aProblems.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace sapphirewind::engine
