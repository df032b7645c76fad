/// @file Finds the route of a request in one version of the configuration.
#pragma once

#include <directory/Configuration.h>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace sapphirewind::directory {

/// An immutable index over a configuration. Shared by the requests that pinned its version.
class RouteTable
{
public:
  explicit RouteTable(Configuration aConfiguration);

  const Configuration& Current() const { return this->configuration; }

  /// The route with the longest prefix of a path among those of a host; null when there is none.
  /// The path is matched byte for byte, without its query.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  /// The service of a name; null when the configuration has none.
  const Service* FindService(const std::string& aName) const;

private:
  /// Prefixes end with a slash, so a look-up a slash of the path finds the longest.
  using Prefixes = std::unordered_map<std::string, const Route*>;

  Configuration configuration;
  std::unordered_map<std::string, Prefixes> hosts;
};

/// A host name as routes compare it: without port, in lower case.
std::string
NormalizeHost(std::string_view aHost);

} // namespace sapphirewind::directory
