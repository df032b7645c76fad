/// @file Random damage to messages, for tests that feed it to whatever reads them. The seed and the
/// number of rounds are fixed; FUZZ_SEED and FUZZ_ROUNDS in the environment change them.
#pragma once

#include <base/Random.h>
#include <string>

namespace sapphirewind::fakes::fuzz {

base::Random
MakeRandom();

int
Rounds();

/// Changes, removes, inserts or repeats a few stretches of bytes.
std::string
Mutate(const std::string& aBytes, base::Random& aRandom);

/// Damages a JSON value so that it stays one: members vanish, are renamed or change their type.
std::string
MutateJson(const std::string& aValue, base::Random& aRandom);

} // namespace sapphirewind::fakes::fuzz
