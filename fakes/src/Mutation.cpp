#include <fakes/Mutation.h>

#include <algorithm>
#include <cstdlib>
#include <document/Document.h>

namespace sapphirewind::fakes::fuzz {

namespace {

constexpr uint64_t kDefaultSeed = 20261204;
/// Covers each kind of mutation in each part of a message, in well under a second.
constexpr int kDefaultRounds = 300;

uint64_t
FromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

Json::Value
UnexpectedValue(base::Random& aRandom)
{
  const Json::Value kValues[] = { Json::Value(),
                                  Json::Value(-1),
                                  Json::Value(0.5),
                                  Json::Value("\xff\xfe"),
                                  Json::Value(true),
                                  Json::Value(Json::arrayValue),
                                  Json::Value(Json::objectValue),
                                  Json::Value(Json::UInt64(~0ULL)) };
  return kValues[base::UniformIndex(aRandom, std::size(kValues))];
}

std::string
ForeignText(base::Random& aRandom)
{
  const char* const kPieces[] = { "clerk",
                                  " ",
                                  "\\\\",
                                  "\\\"",
                                  "\\u0000",
                                  "\\ud83d",
                                  "\\ude00",
                                  "\\ud83d\\ude00",
                                  "\\udfff",
                                  "\xff\xfe",
                                  "\xed\xa0\xbd",
                                  "\xc3\x28",
                                  "\x01",
                                  "\t",
                                  "[",
                                  "}",
                                  "1e99999999999",
                                  "NaN" };
  std::string text = "\"";
  for (size_t piece = base::UniformIndex(aRandom, 5); piece > 0; --piece) {
    text += kPieces[base::UniformIndex(aRandom, std::size(kPieces))];
  }
  return text + "\"";
}

std::string
ForeignNumber(base::Random& aRandom)
{
  const char* const kNumbers[] = { "0",
                                   "-0",
                                   "-1",
                                   "1e400",
                                   "-1e99999999999",
                                   "1E+123456789012",
                                   "1e-99999999999",
                                   "18446744073709551616",
                                   "0.1e1",
                                   "NaN",
                                   "-Infinity" };
  return kNumbers[base::UniformIndex(aRandom, std::size(kNumbers))];
}

std::string
ForeignNesting(base::Random& aRandom)
{
  const size_t kDepths[] = { 10, 1001, 100'000 };
  size_t depth = kDepths[base::UniformIndex(aRandom, std::size(kDepths))];
  std::string open;
  std::string close;
  for (size_t level = 0; level < depth; ++level) {
    bool isArray = aRandom() % 2 == 0;
    open += isArray ? "[" : "{\"a\":";
    close += isArray ? "]" : "}";
  }
  std::reverse(close.begin(), close.end());
  return open + "1" + close;
}

std::string
ForeignValueAt(base::Random& aRandom, size_t aDepth)
{
  constexpr size_t kMaxDepth = 3;
  size_t kind = base::UniformIndex(aRandom, aDepth < kMaxDepth ? 12 : 6);
  if (kind < 3) {
    return ForeignText(aRandom);
  }
  if (kind < 5) {
    return ForeignNumber(aRandom);
  }
  if (kind == 5) {
    return "null";
  }
  if (kind == 6) {
    return ForeignNesting(aRandom);
  }
  bool isArray = kind < 9;
  std::string members;
  for (size_t member = base::UniformIndex(aRandom, 4); member > 0; --member) {
    members += members.empty() ? "" : ",";
    members += isArray ? "" : ForeignText(aRandom) + ":";
    members += ForeignValueAt(aRandom, aDepth + 1);
  }
  return isArray ? "[" + members + "]" : "{" + members + "}";
}

} // namespace

base::Random
MakeRandom()
{
  return base::Random(FromEnvironment("FUZZ_SEED", kDefaultSeed));
}

int
Rounds()
{
  return static_cast<int>(FromEnvironment("FUZZ_ROUNDS", kDefaultRounds));
}

std::string
Mutate(const std::string& aBytes, base::Random& aRandom)
{
  std::string bytes = aBytes;
  for (size_t change = 1 + base::UniformIndex(aRandom, 4); change > 0 && !bytes.empty(); --change) {
    size_t at = base::UniformIndex(aRandom, bytes.size());
    size_t length = 1 + base::UniformIndex(aRandom, 8);
    switch (base::UniformIndex(aRandom, 4)) {
      case 0:
        bytes[at] = static_cast<char>(aRandom());
        break;
      case 1:
        bytes.erase(at, length);
        break;
      case 2:
        bytes.insert(at, 1, static_cast<char>(aRandom()));
        break;
      default:
        bytes.insert(at, bytes.substr(at, length));
        break;
    }
  }
  return bytes;
}

std::string
MutateJson(const std::string& aValue, base::Random& aRandom)
{
  Json::Value value = document::ParseMessage(aValue).value_or(Json::Value());
  std::vector<std::string> names = value.getMemberNames();
  for (size_t change = 1 + base::UniformIndex(aRandom, 2); change > 0; --change) {
    const std::string& name = names[base::UniformIndex(aRandom, names.size())];
    switch (base::UniformIndex(aRandom, 3)) {
      case 0:
        value.removeMember(name);
        break;
      case 1:
        value[name + "x"] = value[name];
        value.removeMember(name);
        break;
      default:
        value[name] = UnexpectedValue(aRandom);
        break;
    }
  }
  return document::Serialize(value);
}

std::string
ForeignValue(base::Random& aRandom)
{
  return ForeignValueAt(aRandom, 0);
}

} // namespace sapphirewind::fakes::fuzz
