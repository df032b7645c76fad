/// @file Positions in the store's history, across returns of the store from an older copy of
/// itself.
///
/// After such a return what was written since the copy is gone, and its revisions are given out
/// again for other changes. The store numbers these eras, so a revision means something within its
/// era only, and everything that is compared or kept by revision is by era first.
#pragma once

#include <cstdint>
#include <optional>

namespace sapphirewind::directory {

/// A position in the store's history.
struct StorePosition
{
  /// Rises with each return of the store from an older copy; 0 if the store names none.
  uint64_t era = 0;
  uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

/// The era that this instance knows of. Plain data that the function below operates on.
struct StoreEra
{
  /// Empty until an answer names one.
  std::optional<uint64_t> known;
  /// Whether answers without an era were taken before that.
  bool hasUnnumbered = false;

  /// The era of what is read now.
  uint64_t Current() const { return this->known.value_or(0); }

  auto operator<=>(const StoreEra&) const = default;
};

/// How an answer's era relates to the one that is known.
enum class EraChange
{
  Same,
  New,    ///< The store has returned from an older copy; the answer is of its new era.
  Earlier ///< The answer is of an era that is over, and must change nothing.
};

/// Records the era that an answer names. An answer that names none is taken as one of the era that
/// is known: whatever lost its header, the store still answers.
EraChange
ObserveEra(StoreEra& aEra, std::optional<uint64_t> aNamed);

} // namespace sapphirewind::directory
