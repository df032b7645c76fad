#include <directory/StoreAvailability.h>

namespace sapphirewind::directory {

bool
OnCallFailed(StoreAvailability& aState, CallTarget aTarget, base::Instant aNow)
{
  aState.storeFailuresInRow += aTarget == CallTarget::Store ? 1 : 0;
  if (!aState.failingSince) {
    aState.failingSince = aNow;
  }
  bool isOutage = aState.storeFailuresInRow >= kOutageStoreFailures ||
                  aNow - *aState.failingSince >= kOutageSilence;
  bool begins = isOutage && !aState.unavailable;
  aState.unavailable = isOutage;
  return begins;
}

bool
OnCallAnswered(StoreAvailability& aState)
{
  bool ends = aState.unavailable;
  aState = {};
  return ends;
}

bool
NeedsPromptAnswer(const StoreAvailability& aState)
{
  return aState.failingSince.has_value();
}

} // namespace sapphirewind::directory
