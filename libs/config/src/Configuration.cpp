#include <config/Configuration.h>

#include <algorithm>
#include <map>
#include <regex>
#include <set>

namespace sapphirewind::config {

namespace {

/// A network round trip and an upstream's work do not fit below this.
constexpr base::Duration kShortestTarget = std::chrono::milliseconds(2);
constexpr base::Duration kLongestTarget = std::chrono::hours(1);
constexpr double kHighestShare = 0.9999;
constexpr double kHighestFloorSum = 0.9;
constexpr size_t kMaxConfigurationBytes = 256 * 1024;

std::string
ExplainUnknownKey(const std::string& aName)
{
  static const std::set<std::string> kWeights = {
    "weight", "weights", "priority_weight", "ratio", "percent"
  };
  static const std::set<std::string> kAddresses = { "address",   "addresses", "host",     "hosts",
                                                    "ip",        "port",      "endpoint", "servers",
                                                    "upstreams", "url" };
  if (kWeights.count(aName)) {
    return "weights cannot be set; state a target (answer_within, least_coverage, keeps_in_flood)";
  }
  if (kAddresses.count(aName)) {
    return "addresses cannot be set; the platform lists the servers of a service";
  }
  return {};
}

bool
IsName(const std::string& aText)
{
  static const std::regex kPattern("[a-z][a-z0-9_-]{0,62}");
  return std::regex_match(aText, kPattern);
}

void
CheckTargets(document::ObjectReader& aReader, const RequestClass& aClass)
{
  if (aReader.Has("answer_within") && aClass.latencyTarget < kShortestTarget) {
    aReader.AddProblem("answer_within", "unreachable: the shortest target is 2ms");
  }
  if (aClass.latencyTarget > kLongestTarget) {
    aReader.AddProblem("answer_within", "longer than the longest target, 1h");
  }
  if (aClass.latencyTargetShare > kHighestShare) {
    aReader.AddProblem("for_share",
                       "unreachable: at most \"99.99%\" of requests can be promised a time");
  }
  if (aClass.latencyTargetShare < 0.5) {
    aReader.AddProblem("for_share", "a target for less than \"50%\" of requests promises nothing");
  }
}

RequestClass
ReadClass(const document::Document& aDocument,
          const Json::Value& aValue,
          const std::string& aName,
          document::Problems& aProblems)
{
  document::ObjectReader reader(aDocument, aValue, "classes." + aName, aProblems);
  RequestClass result;
  result.name = aName;
  if (!IsName(aName)) {
    reader.AddProblem("", "a class name is lower-case letters, digits, - and _, at most 63");
  }
  result.service = reader.RequiredString("service");
  std::string rankText = reader.RequiredString("rank");
  std::optional<model::Rank> rank = model::RankFromText(rankText);
  if (!rank && !rankText.empty()) {
    reader.AddProblem("rank", "must be \"urgent\", \"everyday\" or \"deferrable\"");
  }
  result.rank = rank.value_or(model::Rank::Everyday);
  result.latencyTarget = reader.RequiredDuration("answer_within");
  result.latencyTargetShare = reader.RequiredPercent("for_share");
  result.minCoverage = reader.RequiredPercent("least_coverage");
  result.guaranteedShare = reader.OptionalPercent("keeps_in_flood", 0.0);
  reader.RejectUnknown(&ExplainUnknownKey);
  if (reader.Has("for_share")) {
    CheckTargets(reader, result);
  }
  return result;
}

void
ReadClasses(const document::Document& aDocument,
            const Json::Value& aClasses,
            Configuration& aOut,
            document::Problems& aProblems)
{
  std::map<std::string, double> floors;
  for (const std::string& name : aClasses.getMemberNames()) {
    aOut.classes.push_back(ReadClass(aDocument, aClasses[name], name, aProblems));
    floors[aOut.classes.back().service] += aOut.classes.back().guaranteedShare;
  }
  for (const auto& [service, sum] : floors) {
    if (sum > kHighestFloorSum) {
      aProblems.push_back(document::Problem{
        .line = aDocument.LineOf(aClasses),
        .path = "classes",
        .message =
          "the classes of service \"" + service +
          "\" keep more than 90% in a flood together; nothing would be left for urgent work" });
    }
  }
}

void
ReadAlerts(const document::Document& aDocument,
           const Json::Value& aAlerts,
           Configuration& aOut,
           document::Problems& aProblems)
{
  std::set<std::string> names;
  for (Json::ArrayIndex index = 0; index < aAlerts.size(); ++index) {
    std::string path = "alerts[" + std::to_string(index) + "]";
    auto complain = [&](const std::string& aMessage) {
      aProblems.push_back(document::Problem{
        .line = aDocument.LineOf(aAlerts[index]), .path = path, .message = aMessage });
    };
    if (!aAlerts[index].isString()) {
      complain("an alert rule is one line of text");
      continue;
    }
    std::string error;
    std::optional<AlertRule> rule = ParseAlertRule(aAlerts[index].asString(), error);
    if (!rule) {
      complain(error);
      continue;
    }
    if (!names.insert(rule->name).second) {
      complain("the name \"" + rule->name + "\" is used twice");
    }
    aOut.alerts.push_back(std::move(*rule));
  }
}

std::vector<Label>
ParseLabels(const std::string& aText)
{
  static const std::regex kLabel(R"re(([a-z_]+)\s*=\s*"([^"]*)")re");
  std::vector<Label> labels;
  for (auto match = std::sregex_iterator(aText.begin(), aText.end(), kLabel);
       match != std::sregex_iterator();
       ++match) {
    labels.push_back(Label{ .name = (*match)[1], .value = (*match)[2] });
  }
  std::sort(labels.begin(), labels.end());
  return labels;
}

} // namespace

const std::vector<std::string>&
AlertableMetrics()
{
  static const std::vector<std::string> kNames = {
    "request_latency_p50_ms", "request_latency_p99_ms", "request_late_share",
    "request_coverage",       "request_refused_share",  "request_rate",
    "upstream_extra_share",   "store_unreachable_s",    "members_serving",
    "servers_ejected",        "suspects_quarantined",   "configuration_age_s",
  };
  return kNames;
}

const RequestClass*
Configuration::FindClass(std::string_view aName) const
{
  for (const RequestClass& entry : this->classes) {
    if (entry.name == aName) {
      return &entry;
    }
  }
  return nullptr;
}

std::optional<AlertRule>
ParseAlertRule(const std::string& aLine, std::string& aError)
{
  static const std::regex kRule(
    R"(\s*([A-Za-z][\w-]*)\s*:\s*([a-z][a-z0-9_]*)\s*(?:\{([^}]*)\})?\s*([<>])\s*([0-9]+(?:\.[0-9]+)?)(?:\s+for\s+(\S+))?\s*)");
  std::smatch match;
  if (!std::regex_match(aLine, match, kRule)) {
    aError = "an alert rule reads: Name: metric{class=\"x\"} > 5 for 30s";
    return std::nullopt;
  }
  AlertRule rule;
  rule.line = aLine;
  rule.name = match[1];
  rule.metric = match[2];
  rule.labels = ParseLabels(match[3]);
  rule.comparison = match[4] == ">" ? Comparison::Above : Comparison::Below;
  rule.threshold = std::stod(match[5]);
  const std::vector<std::string>& names = AlertableMetrics();
  if (std::find(names.begin(), names.end(), rule.metric) == names.end()) {
    aError = "unknown metric \"" + rule.metric + "\"; docs/OPERATING.md lists them";
    return std::nullopt;
  }
  if (match[6].matched) {
    std::optional<base::Duration> holdDuration = document::ParseDuration(match[6].str());
    if (!holdDuration) {
      aError = "the time after \"for\" needs a unit, such as 30s";
      return std::nullopt;
    }
    rule.holdDuration = *holdDuration;
  }
  return rule;
}

std::optional<Configuration>
ParseConfiguration(std::string_view aText, document::Problems& aProblems)
{
  if (aText.size() > kMaxConfigurationBytes) {
    aProblems.push_back(
      document::Problem{ .line = 1, .path = "", .message = "longer than the limit of 256 KiB" });
    return std::nullopt;
  }
  std::optional<document::Document> document = document::Document::Parse(aText, aProblems);
  if (!document) {
    return std::nullopt;
  }
  Configuration configuration;
  document::ObjectReader reader(*document, document->Root(), "", aProblems);
  if (const Json::Value* classes = reader.RequiredObject("classes")) {
    ReadClasses(*document, *classes, configuration, aProblems);
  }
  if (const Json::Value* alerts = reader.OptionalArray("alerts")) {
    ReadAlerts(*document, *alerts, configuration, aProblems);
  }
  reader.RejectUnknown(&ExplainUnknownKey);
  if (aProblems.empty() && configuration.classes.empty()) {
    reader.AddProblem("classes", "at least one class is needed");
  }
  std::sort(aProblems.begin(), aProblems.end());
  return aProblems.empty() ? std::optional(configuration) : std::nullopt;
}

namespace {

std::string
Summary(const RequestClass& aClass)
{
  return std::string(model::ToText(aClass.rank)) + " on " + aClass.service + ", within " +
         std::to_string(base::ToMillis(aClass.latencyTarget)) + "ms for " +
         std::to_string(aClass.latencyTargetShare * 100.0) + "%, coverage " +
         std::to_string(aClass.minCoverage * 100.0) + "%, keeps " +
         std::to_string(aClass.guaranteedShare * 100.0) + "%";
}

} // namespace

std::vector<std::string>
DescribeChanges(const Configuration& aBefore, const Configuration& aAfter)
{
  std::vector<std::string> changes;
  for (const RequestClass& entry : aAfter.classes) {
    const RequestClass* before = aBefore.FindClass(entry.name);
    if (!before) {
      changes.push_back("class " + entry.name + " added: " + Summary(entry));
    } else if (*before != entry) {
      changes.push_back("class " + entry.name + ": " + Summary(*before) + " -> " + Summary(entry));
    }
  }
  for (const RequestClass& entry : aBefore.classes) {
    if (!aAfter.FindClass(entry.name)) {
      changes.push_back("class " + entry.name + " removed");
    }
  }
  auto holds = [](const std::vector<AlertRule>& aRules, const AlertRule& aRule) {
    return std::find(aRules.begin(), aRules.end(), aRule) != aRules.end();
  };
  for (const AlertRule& rule : aAfter.alerts) {
    if (!holds(aBefore.alerts, rule)) {
      changes.push_back("alert added: " + rule.line);
    }
  }
  for (const AlertRule& rule : aBefore.alerts) {
    if (!holds(aAfter.alerts, rule)) {
      changes.push_back("alert removed: " + rule.line);
    }
  }
  return changes;
}

} // namespace sapphirewind::config
