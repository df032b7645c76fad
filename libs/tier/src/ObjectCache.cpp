#include <tier/ObjectCache.h>

#include <base/Random.h>

namespace sapphirewind::tier {

bool
IsRelayed(const std::string& aName, size_t aInstanceCount)
{
  return aName != platform::kInstancesObject || aInstanceCount <= kMaxInstancesForListRelay;
}

bool
ObjectCache::UpdateIfNewer(const std::string& aName, const platform::VersionedValue& aObject)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->objects.find(aName);
  if (found != this->objects.end() && found->second.version >= aObject.version) {
    return false;
  }
  this->objects[aName] = aObject;
  return true;
}

std::optional<platform::VersionedValue>
ObjectCache::Get(const std::string& aName) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->objects.find(aName);
  return found == this->objects.end() ? std::nullopt : std::optional(found->second);
}

uint64_t
ObjectCache::VersionOf(const std::string& aName) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->objects.find(aName);
  return found == this->objects.end() ? 0 : found->second.version;
}

std::vector<platform::ObjectChange>
ObjectCache::Versions() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<platform::ObjectChange> versions;
  for (const auto& [name, object] : this->objects) {
    versions.push_back(platform::ObjectChange{ .name = name, .version = object.version });
  }
  return versions;
}

std::vector<platform::VersionedValue>
ObjectCache::ListWithPrefix(const std::string& aPrefix) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<platform::VersionedValue> found;
  for (const auto& [name, object] : this->objects) {
    if (name.starts_with(aPrefix)) {
      found.push_back(object);
    }
  }
  return found;
}

uint64_t
ObjectCache::Digest(size_t aInstanceCount) const
{
  uint64_t digest = 0;
  for (const platform::ObjectChange& entry : this->Versions()) {
    if (!IsRelayed(entry.name, aInstanceCount)) {
      continue;
    }
    digest = base::CombineHash(digest, entry.name + "@" + std::to_string(entry.version));
  }
  return digest;
}

} // namespace sapphirewind::tier
