#include <tier/ServingState.h>

namespace sapphirewind::tier {

const ServiceState*
ServingState::FindService(const std::string& aName) const
{
  auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : &found->second;
}

ServingStateHolder::ServingStateHolder()
  : servingState(std::make_shared<const ServingState>())
{
}

ServingStatePointer
ServingStateHolder::Get() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->servingState;
}

void
ServingStateHolder::Set(ServingStatePointer aState)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->servingState = std::move(aState);
}

} // namespace sapphirewind::tier
