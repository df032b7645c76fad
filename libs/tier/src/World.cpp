#include <tier/World.h>

namespace sapphirewind::tier {

const ServiceWorld*
World::FindService(const std::string& aName) const
{
  auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : &found->second;
}

WorldHolder::WorldHolder()
  : world(std::make_shared<const World>())
{
}

WorldPointer
WorldHolder::Get() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->world;
}

void
WorldHolder::Set(WorldPointer aWorld)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->world = std::move(aWorld);
}

} // namespace sapphirewind::tier
