#include <base/Random.h>

#include <array>
#include <cassert>
#include <xxhash.h>

namespace sapphirewind::base {

namespace {
constexpr int kMantissaBits = 53;
constexpr char kHexDigits[] = "0123456789abcdef";
}

uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

double
UnitFromHash(uint64_t aHash)
{
  return static_cast<double>(aHash >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

double
UniformUnit(Random& aRandom)
{
  return UnitFromHash(aRandom());
}

size_t
UniformIndex(Random& aRandom, size_t aBound)
{
  assert(aBound > 0);
  return static_cast<size_t>(aRandom() % aBound);
}

std::string
ToHex(uint64_t aValue)
{
  std::string text(16, '0');
  for (size_t digit = 16; digit-- > 0;) {
    text[digit] = kHexDigits[aValue & 0xF];
    aValue >>= 4;
  }
  return text;
}

std::string
NewId(Random& aRandom)
{
  return ToHex(aRandom()) + ToHex(aRandom());
}

Random&
ThreadRandom()
{
  thread_local Random generator = [] {
    std::random_device entropy;
    std::array<uint32_t, 8> words{};
    for (uint32_t& word : words) {
      word = entropy();
    }
    std::seed_seq seed(words.begin(), words.end());
    return Random(seed);
  }();
  return generator;
}

} // namespace sapphirewind::base
