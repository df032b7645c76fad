#include <directory/StoreEra.h>

namespace sapphirewind::directory {

EraChange
ObserveEra(StoreEra& aEra, std::optional<uint64_t> aNamed)
{
  if (!aNamed) {
    aEra.hasUnnumbered = aEra.hasUnnumbered || !aEra.known;
    return EraChange::Same;
  }
  if (!aEra.known) {
    aEra.known = aNamed;
    // What was taken without counts as of era 0.
    return aEra.hasUnnumbered && *aNamed > 0 ? EraChange::New : EraChange::Same;
  }
  if (*aNamed < *aEra.known) {
    return EraChange::Earlier;
  }
  bool isNew = *aNamed > *aEra.known;
  aEra.known = aNamed;
  return isNew ? EraChange::New : EraChange::Same;
}

} // namespace sapphirewind::directory
