#include <config/Configuration.h>

#include <algorithm>
#include <map>
#include <regex>
#include <set>

namespace sapphirewind::config {

namespace {

/// A network round trip with processing in an upstream takes longer than any shorter target.
constexpr base::Duration kMinLatencyTarget = std::chrono::milliseconds(2);
constexpr base::Duration kMaxLatencyTarget = std::chrono::hours(1);
constexpr double kMaxLatencyTargetShare = 0.9999;
constexpr double kMaxGuaranteedShareSum = 0.9;
constexpr size_t kMaxConfigurationBytes = 256 * 1024;

std::string
ExplainUnknownKey(const std::string& aName)
{
  static const std::set<std::string> kWeightKeys = {
    "weight", "weights", "priority_weight", "ratio", "percent"
  };
  static const std::set<std::string> kAddressKeys = {
    "address", "addresses", "host", "hosts", "ip", "port", "endpoint", "servers", "upstreams", "url"
  };
  if (kWeightKeys.count(aName)) {
    return "weights cannot be set; set a target (answer_within, least_coverage, keeps_in_flood)";
  }
  if (kAddressKeys.count(aName)) {
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
CheckLatencyTarget(document::ObjectReader& aReader, const RequestClass& aClass)
{
  if (aReader.Has("answer_within") && aClass.latencyTarget < kMinLatencyTarget) {
    aReader.AddProblem("answer_within", "unreachable: the minimum is 2ms");
  }
  if (aClass.latencyTarget > kMaxLatencyTarget) {
    aReader.AddProblem("answer_within", "above the maximum of 1h");
  }
  if (aClass.latencyTargetShare > kMaxLatencyTargetShare) {
    aReader.AddProblem("for_share", "unreachable: the maximum is \"99.99%\" of requests");
  }
  if (aClass.latencyTargetShare < 0.5) {
    aReader.AddProblem("for_share", "below the minimum of \"50%\" of requests");
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
    reader.AddProblem(
      "",
      "a class name must start with a lower-case letter and consist of at most 63 lower-case "
      "letters, digits, \"-\" and \"_\"");
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
    CheckLatencyTarget(reader, result);
  }
  return result;
}

void
ReadClasses(const document::Document& aDocument,
            const Json::Value& aClasses,
            Configuration& aOut,
            document::Problems& aProblems)
{
  std::map<std::string, double> guaranteedShares;
  for (const std::string& name : aClasses.getMemberNames()) {
    aOut.classes.push_back(ReadClass(aDocument, aClasses[name], name, aProblems));
    guaranteedShares[aOut.classes.back().service] += aOut.classes.back().guaranteedShare;
  }
  for (const auto& [service, sum] : guaranteedShares) {
    if (sum > kMaxGuaranteedShareSum) {
      aProblems.push_back(
        document::Problem{ .line = aDocument.LineOf(aClasses),
                           .path = "classes",
                           .message = "the classes of service \"" + service +
                                      "\" reserve more than 90% of its capacity (keeps_in_flood); "
                                      "too little is left for urgent work" });
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
    auto addProblem = [&](const std::string& aMessage) {
      aProblems.push_back(document::Problem{
        .line = aDocument.LineOf(aAlerts[index]), .path = path, .message = aMessage });
    };
    if (!aAlerts[index].isString()) {
      addProblem("an alert rule must be a string");
      continue;
    }
    std::string error;
    std::optional<AlertRule> rule = ParseAlertRule(aAlerts[index].asString(), error);
    if (!rule) {
      addProblem(error);
      continue;
    }
    if (!names.insert(rule->name).second) {
      addProblem("the name \"" + rule->name + "\" is used twice");
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
    aError = "an alert rule has the form: Name: metric{class=\"x\"} > 5 for 30s";
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
      aError = "the duration after \"for\" requires a unit, such as 30s";
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
      document::Problem{ .line = 1, .path = "", .message = "larger than the limit of 256 KiB" });
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
    reader.AddProblem("classes", "at least one class is required");
  }
  std::sort(aProblems.begin(), aProblems.end());
  return aProblems.empty() ? std::optional(configuration) : std::nullopt;
}

namespace {

std::string
DescribeClass(const RequestClass& aClass)
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
      changes.push_back("class " + entry.name + " added: " + DescribeClass(entry));
    } else if (*before != entry) {
      changes.push_back("class " + entry.name + ": " + DescribeClass(*before) + " -> " +
                        DescribeClass(entry));
    }
  }
  for (const RequestClass& entry : aBefore.classes) {
    if (!aAfter.FindClass(entry.name)) {
      changes.push_back("class " + entry.name + " removed");
    }
  }
  auto contains = [](const std::vector<AlertRule>& aRules, const AlertRule& aRule) {
    return std::find(aRules.begin(), aRules.end(), aRule) != aRules.end();
  };
  for (const AlertRule& rule : aAfter.alerts) {
    if (!contains(aBefore.alerts, rule)) {
      changes.push_back("alert added: " + rule.line);
    }
  }
  for (const AlertRule& rule : aBefore.alerts) {
    if (!contains(aAfter.alerts, rule)) {
      changes.push_back("alert removed: " + rule.line);
    }
  }
  return changes;
}

} // namespace sapphirewind::config
