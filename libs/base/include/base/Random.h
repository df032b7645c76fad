/// @file Randomness and hashing. Decisions take a Random as an argument, so that a seed replays
/// them.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace sapphirewind::base {

using Random = std::mt19937_64;

/// A stable 64-bit hash (xxHash), equal on every instance and build.
uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed = 0);

/// Combines a hash with more bytes.
inline uint64_t
CombineHash(uint64_t aHash, std::string_view aBytes)
{
  return Hash64(aBytes, aHash);
}

/// A number in [0, 1) from the upper bits of a hash.
double
UnitFromHash(uint64_t aHash);

/// A number in [0, 1).
double
UniformUnit(Random& aRandom);

/// A whole number in [0, aBound). Precondition: aBound > 0.
size_t
UniformIndex(Random& aRandom, size_t aBound);

/// A 128-bit identifier in hexadecimal.
std::string
NewId(Random& aRandom);

/// Sixteen hexadecimal digits.
std::string
ToHex(uint64_t aValue);

/// A generator seeded from the operating system's entropy, one for each thread.
Random&
ThreadRandom();

} // namespace sapphirewind::base
