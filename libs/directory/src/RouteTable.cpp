#include <directory/RouteTable.h>

#include <algorithm>
#include <cctype>

namespace sapphirewind::directory {

std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return host;
}

RouteTable::RouteTable(Configuration aConfiguration)
  : configuration(std::move(aConfiguration))
{
  for (const Route& route : this->configuration.routes) {
    this->hosts[NormalizeHost(route.host)].emplace(route.pathPrefix, &route);
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  auto prefixes = this->hosts.find(NormalizeHost(aHost));
  if (prefixes == this->hosts.end()) {
    return nullptr;
  }
  std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
    if (found != prefixes->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const Service*
RouteTable::FindService(const std::string& aName) const
{
  auto found = this->configuration.services.find(aName);
  return found == this->configuration.services.end() ? nullptr : &found->second;
}

} // namespace sapphirewind::directory
