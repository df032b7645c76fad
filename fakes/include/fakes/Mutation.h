/// @file Random mutation of messages, for fuzz tests of parsers. The seed and the number of rounds
/// have fixed defaults; the environment variables FUZZ_SEED and FUZZ_ROUNDS override them.
#pragma once

#include <base/Random.h>
#include <string>

namespace sapphirewind::fakes::fuzz {

base::Random
MakeRandom();

int
Rounds();

/// Applies one to four random edits: overwrites or inserts a byte, removes or duplicates a range.
std::string
Mutate(const std::string& aBytes, base::Random& aRandom);

/// Removes, renames or retypes one or two members of a JSON object; the result is valid JSON.
std::string
MutateJson(const std::string& aValue, base::Random& aRandom);

/// A value as another writer may leave it in the store: JSON by its grammar, with text, numbers and
/// nesting that parsers refuse or damage.
std::string
ForeignValue(base::Random& aRandom);

} // namespace sapphirewind::fakes::fuzz
