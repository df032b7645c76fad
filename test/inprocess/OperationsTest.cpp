#include <base/Random.h>
#include <boost/test/unit_test.hpp>
#include <config/Configuration.h>
#include <fakes/InMemoryStore.h>
#include <functional>
#include <map>
#include <operations/Apply.h>
#include <tier/ObjectCache.h>

using namespace sapphirewind;
using namespace sapphirewind::operations;

namespace {

std::string
ConfigurationText(size_t aPercent)
{
  return "{\"classes\": {\"desk\": {\"service\": \"s\", \"rank\": \"urgent\", \"answer_within\": "
         "\"100ms\","
         "\"for_share\": \"99%\", \"least_coverage\": \"100%\", \"keeps_in_flood\": \"" +
         std::to_string(aPercent) + "%\"}}}";
}

/// A store that, with fixed probabilities, lets another operator's change run before or after a
/// call, fails calls before or after they take effect, and returns stale reads.
class FaultyStore final : public platform::Store
{
public:
  FaultyStore(fakes::InMemoryStore& aCore, base::Random& aRandom)
    : core(aCore)
    , random(aRandom)
  {
  }

  base::Result<platform::VersionedValue> Read(const std::string& aName) override
  {
    this->MaybeRunConcurrentChange();
    if (this->OccursWithProbability(0.1)) {
      return NoAnswer();
    }
    auto previous = this->previousReads.find(aName);
    base::Result<platform::VersionedValue> current = this->core.Read(aName);
    base::Result<platform::VersionedValue> result = current;
    if (current && previous != this->previousReads.end() && this->OccursWithProbability(0.2)) {
      result = previous->second;
    }
    if (current) {
      this->previousReads.insert_or_assign(aName, *current);
    }
    return result;
  }

  base::Result<uint64_t> Write(const std::string& aName,
                               const Json::Value& aValue,
                               uint64_t aVersion) override
  {
    this->MaybeRunConcurrentChange();
    if (this->OccursWithProbability(0.1)) {
      return NoAnswer();
    }
    base::Result<uint64_t> written = this->core.Write(aName, aValue, aVersion);
    this->MaybeRunConcurrentChange();
    return this->OccursWithProbability(0.2) ? base::Result<uint64_t>(NoAnswer()) : written;
  }

  base::Result<platform::WatchResponse> Watch(const std::string& aPrefix,
                                              uint64_t aAfter,
                                              base::Duration aWait) override
  {
    return this->core.Watch(aPrefix, aAfter, aWait);
  }

  /// A change by another operator. Runs at most once, between the calls of the change under test.
  std::function<void()> concurrentChange;

private:
  static base::Failure NoAnswer()
  {
    return base::Failure{ .code = platform::Errc::Unavailable, .detail = "lost" };
  }

  bool OccursWithProbability(double aProbability)
  {
    return base::UniformUnit(this->random) < aProbability;
  }

  void MaybeRunConcurrentChange()
  {
    if (this->concurrentChange && this->OccursWithProbability(0.25)) {
      std::function<void()> change = std::move(this->concurrentChange);
      this->concurrentChange = nullptr;
      change();
    }
  }

  fakes::InMemoryStore& core;
  base::Random& random;
  std::map<std::string, platform::VersionedValue> previousReads;
};

struct Attempt
{
  std::string author;
  base::Result<ApplyResult> result;
};

Attempt
ApplyAs(platform::Store& aStore,
        const std::string& aAuthor,
        size_t aPercent,
        base::Random& aRandom,
        int64_t aTime)
{
  ApplyOptions options;
  options.author = aAuthor;
  options.nonce = base::NewId(aRandom);
  options.nowMillis = aTime;
  options.maxAttempts = 60;
  document::Problems problems;
  AuditEntry winner;
  return Attempt{
    aAuthor, ApplyConfiguration(aStore, ConfigurationText(aPercent), options, problems, winner)
  };
}

}

BOOST_AUTO_TEST_SUITE(configuration_changes)

BOOST_AUTO_TEST_SUITE(by_concurrent_operators_over_a_faulty_store)

BOOST_AUTO_TEST_CASE(leave_a_complete_audit_trail_and_are_never_reverted_once_accepted)
{
  constexpr uint64_t kSeeds = 300;
  constexpr int kRounds = 6;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::Random random(seed);
    fakes::InMemoryStore core;
    std::vector<Attempt> attempts;
    for (int round = 0; round < kRounds; ++round) {
      FaultyStore firstStore(core, random);
      FaultyStore secondStore(core, random);
      firstStore.concurrentChange = [&] {
        attempts.push_back(ApplyAs(secondStore, "ben", 20 + round, random, 10 * round + 1));
      };
      attempts.push_back(ApplyAs(firstStore, "ana", 10 + round, random, 10 * round + 2));
    }
    base::Result<std::vector<AuditEntry>> trail = ReadAudit(core);
    BOOST_REQUIRE(trail);
    std::map<uint64_t, std::string> accepted;
    for (const AuditEntry& entry : *trail) {
      if (entry.outcome == AuditOutcome::Accepted) {
        BOOST_TEST(accepted.emplace(entry.generation, entry.author).second,
                   "seed " << seed << ": a generation is recorded twice");
      }
    }
    uint64_t highestGeneration = 0;
    for (const Attempt& attempt : attempts) {
      if (attempt.result) {
        uint64_t generation = attempt.result->generation;
        highestGeneration = std::max(highestGeneration, generation);
        BOOST_TEST(accepted[generation] == attempt.author,
                   "seed " << seed << ": generation " << generation);
      }
    }
    base::Result<CurrentConfiguration> current = ReadCurrentConfiguration(core);
    BOOST_REQUIRE(current);
    BOOST_TEST(current->generation >= highestGeneration,
               "seed " << seed << ": an accepted change was reverted");
    BOOST_TEST(accepted.size() == current->generation,
               "seed " << seed << ": the audit trail has a gap");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(that_conflict_report_the_winner_and_are_audited)
{
  fakes::InMemoryStore core;
  base::Random random(1);
  BOOST_REQUIRE(ApplyAs(core, "ana", 10, random, 1).result);
  ApplyOptions options;
  options.author = "ben";
  options.nonce = "n";
  options.expectedGeneration = 1;
  BOOST_REQUIRE(ApplyAs(core, "eva", 20, random, 2).result);
  document::Problems problems;
  AuditEntry winner;
  base::Result<ApplyResult> result =
    ApplyConfiguration(core, ConfigurationText(30), options, problems, winner);
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.Error().code == Errc::Conflict));
  BOOST_TEST(winner.author == "eva");
  BOOST_TEST(ReadAudit(core)->size() == 3U);
}

BOOST_AUTO_TEST_CASE(keep_their_audit_trail_over_many_pages)
{
  fakes::InMemoryStore core;
  base::Random random(1);
  for (size_t change = 0; change < 260; ++change) {
    BOOST_REQUIRE(
      ApplyAs(core, "ana", 1 + change % 50, random, static_cast<int64_t>(change)).result);
  }
  base::Result<std::vector<AuditEntry>> trail = ReadAudit(core);
  BOOST_REQUIRE(trail);
  BOOST_TEST(trail->size() == 260U);
  BOOST_TEST(ReadCurrentConfiguration(core)->stored.trail.size() < 100U);
}

BOOST_AUTO_TEST_CASE(with_problems_are_not_applied)
{
  fakes::InMemoryStore core;
  document::Problems problems;
  AuditEntry winner;
  BOOST_TEST(!ApplyConfiguration(core, "{\"classes\": {}}", ApplyOptions{}, problems, winner));
  BOOST_TEST(!problems.empty());
  BOOST_TEST(ReadCurrentConfiguration(core)->generation == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_object_cache_of_an_instance)

BOOST_AUTO_TEST_CASE(only_accepts_higher_versions)
{
  constexpr uint64_t kSeeds = 200;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::Random random(seed);
    tier::ObjectCache cache;
    uint64_t highestVersion = 0;
    for (int message = 0; message < 100; ++message) {
      uint64_t version = 1 + base::UniformIndex(random, 40);
      bool accepted = cache.UpdateIfNewer(
        "o", platform::VersionedValue{ .version = version, .value = Json::Value(int(version)) });
      BOOST_TEST(accepted == (version > highestVersion));
      highestVersion = std::max(highestVersion, version);
      BOOST_TEST(cache.Get("o")->value.asUInt64() == highestVersion);
    }
  }
}

BOOST_AUTO_TEST_CASE(includes_the_instance_list_in_the_digest_of_small_fleets_only)
{
  tier::ObjectCache withList;
  tier::ObjectCache withoutList;
  withList.UpdateIfNewer(platform::kInstancesObject,
                         platform::VersionedValue{ .version = 3, .value = Json::Value("list") });
  BOOST_TEST(withList.Digest(9) != withoutList.Digest(9));
  BOOST_TEST(withList.Digest(6500) == withoutList.Digest(6500));
}

BOOST_AUTO_TEST_SUITE_END()
