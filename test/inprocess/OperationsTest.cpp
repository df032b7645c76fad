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
TextWithFloor(size_t aPercent)
{
  return "{\"classes\": {\"desk\": {\"service\": \"s\", \"rank\": \"urgent\", \"answer_within\": "
         "\"100ms\","
         "\"for_share\": \"99%\", \"least_coverage\": \"100%\", \"keeps_in_flood\": \"" +
         std::to_string(aPercent) + "%\"}}}";
}

/// A store that lets another act, loses answers, and serves old reads, as a seed decides.
class TroubledStore final : public platform::Store
{
public:
  TroubledStore(fakes::InMemoryStore& aCore, base::Random& aRandom)
    : core(aCore)
    , random(aRandom)
  {
  }

  base::Result<platform::Versioned> Read(const std::string& aName) override
  {
    this->Interrupt();
    if (this->Chance(0.1)) {
      return Lost();
    }
    auto old = this->older.find(aName);
    base::Result<platform::Versioned> now = this->core.Read(aName);
    base::Result<platform::Versioned> answer = now;
    if (now && old != this->older.end() && this->Chance(0.2)) {
      answer = old->second;
    }
    if (now) {
      this->older.insert_or_assign(aName, *now);
    }
    return answer;
  }

  base::Result<uint64_t> Write(const std::string& aName,
                               const Json::Value& aValue,
                               uint64_t aVersion) override
  {
    this->Interrupt();
    if (this->Chance(0.1)) {
      return Lost();
    }
    base::Result<uint64_t> written = this->core.Write(aName, aValue, aVersion);
    this->Interrupt();
    return this->Chance(0.2) ? base::Result<uint64_t>(Lost()) : written;
  }

  base::Result<platform::WatchAnswer> Watch(const std::string& aPrefix,
                                            uint64_t aAfter,
                                            base::Duration aWait) override
  {
    return this->core.Watch(aPrefix, aAfter, aWait);
  }

  /// What another operator does in between.
  std::function<void()> other;

private:
  static base::Failure Lost()
  {
    return base::Failure{ .code = platform::Errc::Unavailable, .detail = "lost" };
  }

  bool Chance(double aShare) { return base::UniformUnit(this->random) < aShare; }

  void Interrupt()
  {
    if (this->other && this->Chance(0.25)) {
      std::function<void()> act = std::move(this->other);
      this->other = nullptr;
      act();
    }
  }

  fakes::InMemoryStore& core;
  base::Random& random;
  std::map<std::string, platform::Versioned> older;
};

struct Try
{
  std::string author;
  base::Result<Applied> result;
};

Try
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
  options.tries = 60;
  document::Problems problems;
  AuditEntry winner;
  return Try{ aAuthor,
              ApplyConfiguration(aStore, TextWithFloor(aPercent), options, problems, winner) };
}

}

BOOST_AUTO_TEST_SUITE(configuration_changes)

BOOST_AUTO_TEST_SUITE(by_operators_that_race_over_a_troubled_store)

BOOST_AUTO_TEST_CASE(leave_a_complete_audit_trail_and_never_lose_an_accepted_one)
{
  constexpr uint64_t kSeeds = 300;
  constexpr int kRounds = 6;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::Random random(seed);
    fakes::InMemoryStore core;
    std::vector<Try> tries;
    for (int round = 0; round < kRounds; ++round) {
      TroubledStore mine(core, random);
      TroubledStore theirs(core, random);
      mine.other = [&] {
        tries.push_back(ApplyAs(theirs, "ben", 20 + round, random, 10 * round + 1));
      };
      tries.push_back(ApplyAs(mine, "ana", 10 + round, random, 10 * round + 2));
    }
    base::Result<std::vector<AuditEntry>> trail = ReadAudit(core);
    BOOST_REQUIRE(trail);
    std::map<uint64_t, std::string> accepted;
    for (const AuditEntry& entry : *trail) {
      if (entry.outcome == AuditOutcome::Accepted) {
        BOOST_TEST(accepted.emplace(entry.generation, entry.author).second,
                   "seed " << seed << ": a generation stands twice");
      }
    }
    uint64_t highest = 0;
    for (const Try& each : tries) {
      if (each.result) {
        uint64_t generation = each.result->generation;
        highest = std::max(highest, generation);
        BOOST_TEST(accepted[generation] == each.author,
                   "seed " << seed << ": generation " << generation);
      }
    }
    base::Result<Current> current = ReadCurrent(core);
    BOOST_REQUIRE(current);
    BOOST_TEST(current->generation >= highest,
               "seed " << seed << ": an accepted change was reverted");
    BOOST_TEST(accepted.size() == current->generation, "seed " << seed << ": the trail has a gap");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(that_lose_a_race_are_told_who_won_and_stand_in_the_trail)
{
  fakes::InMemoryStore core;
  base::Random random(1);
  BOOST_REQUIRE(ApplyAs(core, "ana", 10, random, 1).result);
  ApplyOptions options;
  options.author = "ben";
  options.nonce = "n";
  options.expected = 1;
  BOOST_REQUIRE(ApplyAs(core, "eva", 20, random, 2).result);
  document::Problems problems;
  AuditEntry winner;
  base::Result<Applied> result =
    ApplyConfiguration(core, TextWithFloor(30), options, problems, winner);
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.Error().code == Errc::Conflict));
  BOOST_TEST(winner.author == "eva");
  BOOST_TEST(ReadAudit(core)->size() == 3U);
}

BOOST_AUTO_TEST_CASE(keep_their_trail_over_many_pages)
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
  BOOST_TEST(ReadCurrent(core)->stored.trail.size() < 100U);
}

BOOST_AUTO_TEST_CASE(with_problems_change_nothing)
{
  fakes::InMemoryStore core;
  document::Problems problems;
  AuditEntry winner;
  BOOST_TEST(!ApplyConfiguration(core, "{\"classes\": {}}", ApplyOptions{}, problems, winner));
  BOOST_TEST(!problems.empty());
  BOOST_TEST(ReadCurrent(core)->generation == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instances_copy_of_an_object)

BOOST_AUTO_TEST_CASE(only_ever_moves_to_a_higher_version)
{
  constexpr uint64_t kSeeds = 200;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::Random random(seed);
    tier::ObjectCache cache;
    uint64_t highest = 0;
    for (int message = 0; message < 100; ++message) {
      uint64_t version = 1 + base::UniformIndex(random, 40);
      bool taken = cache.Offer(
        "o", platform::Versioned{ .version = version, .value = Json::Value(int(version)) });
      BOOST_TEST(taken == (version > highest));
      highest = std::max(highest, version);
      BOOST_TEST(cache.Get("o")->value.asUInt64() == highest);
    }
  }
}

BOOST_AUTO_TEST_CASE(of_the_instance_list_is_passed_on_in_a_small_fleet_only)
{
  tier::ObjectCache with;
  tier::ObjectCache without;
  with.Offer(platform::kInstancesObject,
             platform::Versioned{ .version = 3, .value = Json::Value("list") });
  BOOST_TEST(with.Digest(9) != without.Digest(9));
  BOOST_TEST(with.Digest(6500) == without.Digest(6500));
}

BOOST_AUTO_TEST_SUITE_END()
