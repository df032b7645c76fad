/// @file The configuration that tests of the engine write to the store.
#pragma once

#include <json/value.h>
#include <string>

namespace sapphirewind::test {

struct TestConfiguration
{
  uint64_t version = 1;
  /// Shards s0, s1 and so on of the query route /q/.
  size_t shards = 10;
  double minCoverage = 0.8;
};

/// A route with the common limits and without a destination.
Json::Value
MakeRoute(const std::string& aPrefix, const std::string& aType);

/// A configuration with the routes, in this order: /q/ to all shards, /p/ to service "p", and /b/
/// to service "p" with each request executed at most once.
Json::Value
MakeConfiguration(const TestConfiguration& aOptions);

} // namespace sapphirewind::test
