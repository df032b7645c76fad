#include <config/Settings.h>

#include <regex>

namespace sapphirewind::config {

namespace {

constexpr int64_t kMinBodyBytes = 1024;
constexpr int64_t kMaxBodyBytes = 8 * 1024 * 1024;

bool
IsAddress(const std::string& aText)
{
  static const std::regex kAddress(R"(\d{1,3}(\.\d{1,3}){3}:\d{1,5})");
  return std::regex_match(aText, kAddress);
}

std::vector<std::string>
ReadSeeds(document::ObjectReader& aReader)
{
  std::vector<std::string> seeds;
  const Json::Value* list = aReader.OptionalArray("seeds");
  if (!list) {
    return seeds;
  }
  for (const Json::Value& entry : *list) {
    if (!entry.isString() || !IsAddress(entry.asString())) {
      aReader.AddProblem("seeds", "must list addresses such as \"127.0.0.1:8080\"");
      return {};
    }
    seeds.push_back(entry.asString());
  }
  return seeds;
}

void
CheckAddress(document::ObjectReader& aReader, const char* aName, const std::string& aAddress)
{
  if (!aAddress.empty() && !IsAddress(aAddress)) {
    aReader.AddProblem(aName, "must be an IP address and port such as \"127.0.0.1:8080\"");
  }
}

Experiment
ReadExperiment(const document::Document& aDocument,
               const Json::Value& aValue,
               document::Problems& aProblems)
{
  document::ObjectReader reader(aDocument, aValue, "experiment", aProblems);
  Experiment experiment;
  std::string dispatch = reader.OptionalString("dispatch", "owner");
  if (dispatch != "owner" && dispatch != "direct") {
    reader.AddProblem("dispatch", "must be \"owner\" or \"direct\"");
  }
  experiment.dispatch = dispatch == "direct" ? DispatchMode::Direct : DispatchMode::Owner;
  std::string replica = reader.OptionalString("replica", "least_loaded");
  if (replica != "least_loaded" && replica != "random") {
    reader.AddProblem("replica", "must be \"least_loaded\" or \"random\"");
  }
  experiment.replica = replica == "random" ? ReplicaChoice::Random : ReplicaChoice::LeastLoaded;
  experiment.hedging = reader.OptionalBoolean("hedging", true);
  experiment.admission = reader.OptionalBoolean("admission", true);
  experiment.canary = reader.OptionalBoolean("canary", true);
  experiment.sharers = static_cast<size_t>(reader.OptionalInteger("sharers", 0, 0, 64));
  reader.RejectUnknown();
  return experiment;
}

} // namespace

std::optional<Settings>
ParseSettings(std::string_view aText, document::Problems& aProblems)
{
  std::optional<document::Document> document = document::Document::Parse(aText, aProblems);
  if (!document) {
    return std::nullopt;
  }
  Settings settings;
  document::ObjectReader reader(*document, document->Root(), "", aProblems);
  settings.name = reader.RequiredString("name");
  settings.region = reader.RequiredString("region");
  settings.zone = reader.RequiredString("availability_zone");
  settings.listen = reader.RequiredString("listen");
  settings.platform = reader.RequiredString("platform");
  CheckAddress(reader, "listen", settings.listen);
  CheckAddress(reader, "platform", settings.platform);
  settings.seeds = ReadSeeds(reader);
  settings.balancerLag = reader.OptionalDuration("balancer_lag", settings.balancerLag);
  settings.stopWithin = reader.OptionalDuration("stop_within", settings.stopWithin);
  settings.maxBodyBytes = static_cast<size_t>(reader.OptionalInteger(
    "max_body_bytes", static_cast<int64_t>(settings.maxBodyBytes), kMinBodyBytes, kMaxBodyBytes));
  settings.logFile = reader.OptionalString("log_file", "");
  if (const Json::Value* experiment = reader.OptionalObject("experiment")) {
    settings.experiment = ReadExperiment(*document, *experiment, aProblems);
  }
  reader.RejectUnknown();
  return aProblems.empty() ? std::optional(settings) : std::nullopt;
}

} // namespace sapphirewind::config
