/// @file Lookup of a request's route in one version of the configuration.
#pragma once

#include <directory/Configuration.h>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace sapphirewind::directory {

/// Immutable index over a configuration, shared by all requests that use its version.
class RouteTable
{
public:
  explicit RouteTable(Configuration aConfiguration);

  const Configuration& Current() const { return this->configuration; }

  /// The route of a host with the longest matching path prefix; null if there is none. The path is
  /// compared byte by byte, without the query string.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  /// The service with the given name; null if the configuration has none.
  const Service* FindService(const std::string& aName) const;

private:
  /// Prefixes end with a slash, so one lookup per slash of the path finds the longest match.
  using Prefixes = std::unordered_map<std::string, const Route*>;

  Configuration configuration;
  std::unordered_map<std::string, Prefixes> hosts;
};

/// Normalizes a host name for comparison: removes the port and converts it to lower case.
std::string
NormalizeHost(std::string_view aHost);

} // namespace sapphirewind::directory
