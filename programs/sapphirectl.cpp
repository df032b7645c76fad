/// @file Command-line tool for operators of the query tier.
#include <base/Random.h>
#include <config/Configuration.h>
#include <cstdlib>
#include <ctime>
#include <document/Document.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <model/Catalog.h>
#include <net/Connection.h>
#include <operations/Apply.h>
#include <platform/Store.h>
#include <sstream>
#include <thread>

DEFINE_string(platform, "127.0.0.1:7000", "The address and port of the platform's object API.");
DEFINE_string(
  instance,
  "",
  "Query only this instance, IP:PORT, instead of all instances that the platform lists.");
DEFINE_string(author,
              "",
              "The author of the change for the audit trail; by default the login name.");
DEFINE_uint64(expect,
              0,
              "Apply only if this generation is the current one; 0 accepts any generation.");
DEFINE_bool(wait, false, "After apply, wait until the change is in force on all instances.");
DEFINE_double(wait_seconds, 30.0, "The timeout of --wait, in seconds.");
DEFINE_bool(json, false, "Print JSON instead of text.");

namespace {

using namespace sapphirewind;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalid = 3;
constexpr int kExitConflict = 4;
constexpr base::Duration kCallTimeout = std::chrono::seconds(3);
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(200);

constexpr const char* kUsage =
  "command-line tool for operators of the query tier\n\n"
  "  sapphirectl check FILE           validate a configuration without applying it\n"
  "  sapphirectl apply FILE [--wait]  make a configuration the current one\n"
  "  sapphirectl show                 print the current configuration\n"
  "  sapphirectl status               print the status of the instances\n"
  "  sapphirectl audit                print the history of configuration changes\n"
  "  sapphirectl watch                print each new generation of the configuration\n"
  "  sapphirectl --instance IP:PORT beliefs\n"
  "                                   print the state of an instance on the users' platform;\n"
  "                                   the address is that of its metrics\n\n"
  "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 invalid configuration, 4 conflict with "
  "another change.";

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << "sapphirectl: cannot read " << aPath << "\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::unique_ptr<platform::HttpStore>
OpenStore()
{
  net::Endpoint endpoint;
  if (!net::ParseEndpoint(FLAGS_platform, endpoint)) {
    std::cerr << "sapphirectl: --platform must be IP:PORT\n";
    return nullptr;
  }
  return std::make_unique<platform::HttpStore>(endpoint, kCallTimeout);
}

int
ReportFailure(const base::Failure& aFailure)
{
  std::cerr << "sapphirectl: " << aFailure.code.message();
  if (!aFailure.detail.empty()) {
    std::cerr << " (" << aFailure.detail << ")";
  }
  std::cerr << "\n";
  return aFailure.code == operations::Errc::Conflict ? kExitConflict : kExitFailed;
}

void
PrintProblems(const std::string& aPath, const document::Problems& aProblems)
{
  for (const document::Problem& problem : aProblems) {
    std::cerr << aPath << ": " << document::Describe(problem) << "\n";
  }
  std::cerr << aProblems.size() << " problem(s); nothing was applied\n";
}

int
Check(const std::string& aPath)
{
  std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    return kExitFailed;
  }
  document::Problems problems;
  std::optional<config::Configuration> parsed = config::ParseConfiguration(*text, problems);
  if (!parsed) {
    PrintProblems(aPath, problems);
    return kExitInvalid;
  }
  std::cout << aPath << ": " << parsed->classes.size() << " classes, " << parsed->alerts.size()
            << " alert rules, no problems\n";
  return 0;
}

std::vector<std::string>
InstanceAddresses(platform::Store& aStore)
{
  if (!FLAGS_instance.empty()) {
    return { FLAGS_instance };
  }
  std::vector<std::string> addresses;
  base::Result<platform::VersionedValue> list = aStore.Read(platform::kInstancesObject);
  if (!list) {
    return addresses;
  }
  for (const Json::Value& entry : list->value["instances"]) {
    std::optional<model::InstanceRecord> record = model::InstanceFromJson(entry);
    if (record && !record->leaving) {
      addresses.push_back(record->address);
    }
  }
  return addresses;
}

std::optional<Json::Value>
FetchPage(const std::string& aAddress, const std::string& aPath)
{
  net::Endpoint endpoint;
  if (!net::ParseEndpoint(aAddress, endpoint)) {
    return std::nullopt;
  }
  net::Connection connection(endpoint, net::ConnectionOptions{ .keepAlive = false });
  base::Result<net::Response> response =
    connection.Send(net::Request{ .path = aPath }, kCallTimeout);
  return response && response->status == 200 ? document::ParseMessage(response->body)
                                             : std::nullopt;
}

std::optional<Json::Value>
FetchStatus(const std::string& aAddress)
{
  return FetchPage(aAddress, "/v1/status");
}

int
PrintInstanceState()
{
  std::optional<Json::Value> state = FetchPage(FLAGS_instance, "/beliefs");
  if (!state) {
    std::cerr << "sapphirectl: no response to /beliefs from --instance '" << FLAGS_instance
              << "'\n";
    return kExitFailed;
  }
  std::cout << document::SerializeIndented(*state) << "\n";
  return 0;
}

/// Waits until a generation, or a later one, is in force on every listed instance.
int
WaitUntilInForce(platform::Store& aStore, uint64_t aGeneration)
{
  base::Instant end = base::Now() + base::FromFractionalMillis(FLAGS_wait_seconds * 1000.0);
  while (true) {
    std::vector<std::string> addresses = InstanceAddresses(aStore);
    size_t inForce = 0;
    for (const std::string& address : addresses) {
      std::optional<Json::Value> status = FetchStatus(address);
      inForce += status && (*status)["generation"].asUInt64() >= aGeneration ? 1 : 0;
    }
    bool all = !addresses.empty() && inForce == addresses.size();
    bool timedOut = base::Now() >= end;
    if (all || timedOut) {
      std::cout << "generation " << aGeneration << " in force on " << inForce << " of "
                << addresses.size() << " instances\n";
      return all ? 0 : kExitFailed;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

int
Apply(platform::Store& aStore, const std::string& aPath)
{
  std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    return kExitFailed;
  }
  const char* login = std::getenv("USER");
  operations::ApplyOptions options;
  options.author = !FLAGS_author.empty() ? FLAGS_author : login ? login : "unknown";
  options.nonce = base::NewId(base::ThreadRandom());
  options.nowMillis = base::WallClockMillis();
  options.backoff = [] { std::this_thread::sleep_for(kRetryInterval); };
  if (FLAGS_expect > 0) {
    options.expectedGeneration = FLAGS_expect;
  }
  document::Problems problems;
  operations::AuditEntry winner;
  base::Result<operations::ApplyResult> applied =
    operations::ApplyConfiguration(aStore, *text, options, problems, winner);
  if (!applied && applied.Error().code == operations::Errc::Invalid) {
    PrintProblems(aPath, problems);
    return kExitInvalid;
  }
  if (!applied) {
    return ReportFailure(applied.Error());
  }
  std::cout << "accepted as generation " << applied->generation << "\n";
  for (const std::string& change : applied->changes) {
    std::cout << "  " << change << "\n";
  }
  return FLAGS_wait ? WaitUntilInForce(aStore, applied->generation) : 0;
}

int
Show(platform::Store& aStore)
{
  base::Result<operations::CurrentConfiguration> current =
    operations::ReadCurrentConfiguration(aStore);
  if (!current) {
    return ReportFailure(current.Error());
  }
  if (FLAGS_json) {
    Json::Value value;
    value["generation"] = static_cast<Json::UInt64>(current->generation);
    value["author"] = current->stored.author;
    value["text"] = current->stored.text;
    std::cout << document::SerializeIndented(value) << "\n";
    return 0;
  }
  std::cout << "// generation " << current->generation << ", by " << current->stored.author << "\n"
            << current->stored.text;
  return 0;
}

std::string
FormatTime(int64_t aMillis)
{
  std::time_t seconds = aMillis / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

int
Audit(platform::Store& aStore)
{
  base::Result<std::vector<operations::AuditEntry>> trail = operations::ReadAudit(aStore);
  if (!trail) {
    return ReportFailure(trail.Error());
  }
  if (FLAGS_json) {
    Json::Value list(Json::arrayValue);
    for (const operations::AuditEntry& entry : *trail) {
      list.append(operations::ToJson(entry));
    }
    std::cout << document::SerializeIndented(list) << "\n";
    return 0;
  }
  for (const operations::AuditEntry& entry : *trail) {
    bool accepted = entry.outcome == operations::AuditOutcome::Accepted;
    std::cout << FormatTime(entry.atMillis) << "  " << entry.author << "  from generation "
              << entry.fromGeneration << "  " << (accepted ? "accepted as " : "conflict with ")
              << entry.generation << "\n";
    for (const std::string& change : entry.changes) {
      std::cout << "    " << change << "\n";
    }
  }
  return 0;
}

void
PrintClasses(const Json::Value& aStatus)
{
  for (const Json::Value& entry : aStatus["classes"]) {
    std::cout << "    " << std::left << std::setw(16) << entry["class"].asString() << std::right
              << std::fixed << std::setprecision(1) << std::setw(8) << entry["rate"].asDouble()
              << "/s  p50 " << std::setw(7) << entry["p50_ms"].asDouble() << " ms  p99 "
              << std::setw(7) << entry["p99_ms"].asDouble() << " ms  late " << std::setprecision(2)
              << entry["late_share"].asDouble() * 100 << "%  refused "
              << entry["refused_share"].asDouble() * 100 << "%  coverage "
              << entry["coverage"].asDouble() * 100 << "%\n";
  }
}

void
PrintStatus(const std::string& aAddress, const Json::Value& aStatus)
{
  size_t owned = 0;
  size_t ejected = 0;
  for (const Json::Value& cell : aStatus["cells"]) {
    owned += cell["owner"].asBool() ? 1 : 0;
    for (const Json::Value& server : cell["servers"]) {
      ejected += server["ejected"].asBool() ? 1 : 0;
    }
  }
  std::cout << aStatus["name"].asString() << "  " << aAddress << "  "
            << (aStatus["stopping"].asBool() ? "stopping"
                : aStatus["ready"].asBool()  ? "ready"
                                             : "not ready")
            << "  generation " << aStatus["generation"].asUInt64() << "  members serving "
            << aStatus["serving"].size() << "  groups owned " << owned << "  servers ejected "
            << ejected;
  if (aStatus["store_unreachable_s"].asDouble() > 0) {
    std::cout << "  STORE UNREACHABLE for "
              << static_cast<int>(aStatus["store_unreachable_s"].asDouble()) << " s";
  }
  std::cout << "\n";
  PrintClasses(aStatus);
  for (const Json::Value& alert : aStatus["alerts"]) {
    if (alert["firing"].asBool()) {
      std::cout << "    ALERT " << alert["name"].asString() << " (" << alert["value"].asDouble()
                << ")\n";
    }
  }
  for (const Json::Value& server : aStatus["leaving_servers"]) {
    std::cout << "    leaving: " << server.asString() << "\n";
  }
  for (const Json::Value& fingerprint : aStatus["condemned"]) {
    std::cout << "    quarantined request: " << fingerprint.asString() << "\n";
  }
}

int
Status(platform::Store& aStore)
{
  std::vector<std::string> addresses = InstanceAddresses(aStore);
  if (addresses.empty()) {
    std::cerr << "sapphirectl: the platform lists no instances; specify one with --instance\n";
    return kExitFailed;
  }
  Json::Value all(Json::objectValue);
  size_t responded = 0;
  for (const std::string& address : addresses) {
    std::optional<Json::Value> status = FetchStatus(address);
    responded += status ? 1 : 0;
    if (FLAGS_json) {
      all[address] = status.value_or(Json::Value());
    } else if (status) {
      PrintStatus(address, *status);
    } else {
      std::cout << address << "  NO RESPONSE\n";
    }
  }
  if (FLAGS_json) {
    std::cout << document::SerializeIndented(all) << "\n";
  }
  return responded == addresses.size() ? 0 : kExitFailed;
}

int
Watch(platform::Store& aStore)
{
  constexpr base::Duration kWatchTimeout = std::chrono::seconds(10);
  uint64_t revision = 0;
  uint64_t generation = 0;
  while (true) {
    base::Result<platform::WatchResponse> response =
      aStore.Watch(platform::kConfigurationObject, revision, kWatchTimeout);
    if (!response) {
      std::cerr << "sapphirectl: " << response.Error().code.message() << "; retrying in 1 s\n";
      std::this_thread::sleep_for(std::chrono::seconds(1));
      continue;
    }
    revision = response->revision;
    base::Result<operations::CurrentConfiguration> current =
      operations::ReadCurrentConfiguration(aStore);
    if (current && current->generation > generation) {
      generation = current->generation;
      std::cout << "generation " << generation << " by " << current->stored.author << std::endl;
    }
  }
}

int
Usage()
{
  std::cerr << "sapphirectl: " << kUsage << "\n";
  return kExitUsage;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(kUsage);
  gflags::SetVersionString(SAPPHIREWIND_VERSION);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  if (arguments.empty()) {
    return Usage();
  }
  bool takesFile = arguments[0] == "check" || arguments[0] == "apply";
  if (arguments.size() != (takesFile ? 2U : 1U)) {
    return Usage();
  }
  if (arguments[0] == "check") {
    return Check(arguments[1]);
  }
  if (arguments[0] == "beliefs") {
    return PrintInstanceState();
  }
  std::unique_ptr<platform::HttpStore> store = OpenStore();
  if (!store) {
    return kExitUsage;
  }
  if (arguments[0] == "apply") {
    return Apply(*store, arguments[1]);
  }
  if (arguments[0] == "show") {
    return Show(*store);
  }
  if (arguments[0] == "status") {
    return Status(*store);
  }
  if (arguments[0] == "audit") {
    return Audit(*store);
  }
  return arguments[0] == "watch" ? Watch(*store) : Usage();
}
