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

} // namespace sapphirewind::fakes::fuzz
