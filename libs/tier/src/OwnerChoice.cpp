#include <tier/OwnerChoice.h>

#include <vector>

namespace sapphirewind::tier {

namespace {
constexpr base::Duration kAvoidDuration = std::chrono::milliseconds(1000);
}

void
AvoidedPeers::MarkUnreachable(const std::string& aName, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->avoidedUntil[aName] = aNow + kAvoidDuration;
}

bool
AvoidedPeers::IsAvoided(const std::string& aName, base::Instant aNow) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->avoidedUntil.find(aName);
  return found != this->avoidedUntil.end() && aNow < found->second;
}

bool
AvoidedPeers::TryStartPing(const std::string& aName, base::Instant aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  base::Instant& last = this->lastPingAt[aName];
  if (aNow - last < kPingTimeout / 2) {
    return false;
  }
  last = aNow;
  return true;
}

std::string
ChooseOwner(const routing::GroupRoute& aRoute,
            const std::set<std::string>& aExcluded,
            const std::set<std::string>& aAvoided,
            base::Random& aRandom)
{
  std::vector<std::string> reachable;
  for (const std::string& name : aRoute.owners) {
    if (!aExcluded.count(name) && !aAvoided.count(name)) {
      reachable.push_back(name);
    }
  }
  if (!reachable.empty()) {
    return reachable[base::UniformIndex(aRandom, reachable.size())];
  }
  for (const std::string& name : aRoute.standbys) {
    if (!aExcluded.count(name)) {
      return name;
    }
  }
  // Only avoided owners are left; one of them may have recovered.
  for (const std::string& name : aRoute.owners) {
    if (!aExcluded.count(name)) {
      return name;
    }
  }
  return {};
}

} // namespace sapphirewind::tier
