#include "TestConfiguration.h"

#include <vector>

namespace sapphirewind::test {

Json::Value
MakeRoute(const std::string& aPrefix, const std::string& aType)
{
  Json::Value route;
  route["name"] = aPrefix;
  route["host"] = "search.example";
  route["path_prefix"] = aPrefix;
  route["type"] = aType;
  route["timeout_ms"] = 2000;
  route["slo_ms"] = 300;
  route["priority"] = 1;
  route["attempts"] = 2;
  return route;
}

Json::Value
MakeConfiguration(const TestConfiguration& aOptions)
{
  Json::Value query = MakeRoute("/q/", "idempotent");
  query["top_k"] = 5;
  query["min_coverage"] = aOptions.minCoverage;
  std::vector<std::string> names = { "p" };
  for (size_t shard = 0; shard < aOptions.shards; ++shard) {
    names.push_back("s" + std::to_string(shard));
    query["gather"].append(names.back());
  }
  Json::Value root;
  root["version"] = Json::UInt64(aOptions.version);
  for (const std::string& name : names) {
    Json::Value service;
    service["name"] = name;
    service["health_check"] = "/health";
    service["max_conns"] = 64;
    root["services"].append(service);
  }
  Json::Value plain = MakeRoute("/p/", "idempotent");
  plain["service"] = "p";
  Json::Value booking = MakeRoute("/b/", "non_idempotent");
  booking["service"] = "p";
  root["routes"].append(query);
  root["routes"].append(plain);
  root["routes"].append(booking);
  root["limits"]["max_header_bytes"] = 4096;
  root["limits"]["max_body_bytes"] = 10000;
  root["limits"]["header_timeout_ms"] = 500;
  root["limits"]["idle_timeout_ms"] = 15000;
  return root;
}

} // namespace sapphirewind::test
