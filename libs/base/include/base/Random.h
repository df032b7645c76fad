/// @file Random numbers and hashing. Code that makes random decisions takes a Random as an
/// argument, so that a seed reproduces them.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace sapphirewind::base {

using Random = std::mt19937_64;

/// A stable 64-bit hash (xxHash): equal on every instance and in every build.
uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed = 0);

/// Extends a hash by more bytes.
inline uint64_t
CombineHash(uint64_t aHash, std::string_view aBytes)
{
  return Hash64(aBytes, aHash);
}

/// Maps the upper 53 bits of a hash to [0, 1).
double
UnitFromHash(uint64_t aHash);

/// A uniformly distributed number in [0, 1).
double
UniformUnit(Random& aRandom);

/// A uniformly distributed integer in [0, aBound). Precondition: aBound > 0.
size_t
UniformIndex(Random& aRandom, size_t aBound);

/// A random 128-bit identifier in hexadecimal.
std::string
NewId(Random& aRandom);

/// Formats a number as sixteen hexadecimal digits.
std::string
ToHex(uint64_t aValue);

/// The thread's own generator, seeded with entropy from the operating system.
Random&
ThreadRandom();

} // namespace sapphirewind::base
