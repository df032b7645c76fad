/// @file The configuration that tests of the engine put into the store.
#pragma once

#include <json/value.h>
#include <string>

namespace sapphirewind::test {

struct TestConfiguration
{
  uint64_t version = 1;
  /// Shards s0, s1 and so on of the query route /q/.
  size_t shards = 10;
  double leastCoverage = 0.8;
};

/// A route to nowhere yet, with the common limits.
Json::Value
MakeRoute(const std::string& aPrefix, const std::string& aType);

/// Routes /q/ (all shards), /p/ and /b/ (service "p", the latter at most once), in that order.
Json::Value
MakeConfiguration(const TestConfiguration& aOptions);

} // namespace sapphirewind::test
