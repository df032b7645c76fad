#include "../language/Script.h"
#include "MemberFleet.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sapphirewind;
using namespace sapphirewind::test;
using namespace std::chrono_literals;

namespace {

/// The words of virtual scenarios. Steps with `at` run the clock to their moment first.
class MemberScript
{
public:
  MemberScript()
  {
    this->words.Define("members (\\d+) seed (\\d+)", [this](const Captures& aWords) {
      this->fleet = std::make_unique<MemberFleet>(Number(aWords[0]), Number(aWords[1]));
    });
    this->words.Define("kill m(\\d+)",
                       [this](const Captures& aWords) { this->fleet->Kill(Index(aWords[0])); });
    this->words.Define("restart m(\\d+)",
                       [this](const Captures& aWords) { this->fleet->Restart(Index(aWords[0])); });
    this->words.Define("leave m(\\d+)",
                       [this](const Captures& aWords) { this->fleet->Leave(Index(aWords[0])); });
    this->words.Define("freeze m(\\d+) for (\\S+)", [this](const Captures& aWords) {
      this->fleet->Freeze(Index(aWords[0]), ParseDurationArgument(aWords[1]));
    });
    this->words.Define("cut m(\\d+) from m(\\d+) for (\\S+)", [this](const Captures& aWords) {
      this->fleet->Cut(Index(aWords[0]), Index(aWords[1]), ParseDurationArgument(aWords[2]));
    });
    this->words.Define("publish generation (\\d+) to m(\\d+)", [this](const Captures& aWords) {
      this->fleet->Publish(Index(aWords[1]), Number(aWords[0]));
    });
    this->words.Define("expect all agree on who serves",
                       [this](const Captures&) { this->ExpectAgreement(); });
    this->words.Define(
      "expect m(\\d+) takes m(\\d+) for (serving|gone)", [this](const Captures& aWords) {
        bool serving = this->fleet->ServingAt(Index(aWords[0])).count("m" + aWords[1]) > 0;
        if (serving != (aWords[2] == "serving")) {
          throw StepFailed("it does not");
        }
      });
    this->words.Define("expect all are at generation (\\d+)", [this](const Captures& aWords) {
      for (size_t member = 0; member < this->fleet->Count(); ++member) {
        if (this->fleet->IsAlive(member) &&
            this->fleet->GenerationAt(member) != Number(aWords[0])) {
          throw StepFailed(MemberFleet::NameOf(member) + " is at " +
                           std::to_string(this->fleet->GenerationAt(member)));
        }
      }
      if (this->fleet->GenerationsFallen() > 0) {
        throw StepFailed("a generation fell");
      }
    });
  }

  void Run(const std::string& aText)
  {
    std::string error;
    std::optional<std::vector<Step>> steps = ParseScript(aText, error);
    BOOST_REQUIRE_MESSAGE(steps, error);
    for (const Step& step : *steps) {
      if (step.at) {
        this->fleet->RunTo(*step.at);
      }
      try {
        this->words.Execute(step);
      } catch (const StepFailed& failure) {
        BOOST_ERROR("line " << step.line << ": " << step.text << ": " << failure.what());
      }
    }
  }

private:
  static size_t Number(const std::string& aText) { return std::stoul(aText); }
  static size_t Index(const std::string& aText) { return std::stoul(aText) - 1; }

  void ExpectAgreement()
  {
    for (size_t member = 0; member < this->fleet->Count(); ++member) {
      bool counts = this->fleet->Running().count(MemberFleet::NameOf(member)) > 0;
      if (counts && this->fleet->ServingAt(member) != this->fleet->Running()) {
        throw StepFailed(MemberFleet::NameOf(member) + " sees otherwise");
      }
    }
  }

  StepDefinitions words;
  std::unique_ptr<MemberFleet> fleet;
};

}

BOOST_AUTO_TEST_SUITE(a_fleet_on_a_virtual_clock)

BOOST_AUTO_TEST_SUITE(notices)

BOOST_AUTO_TEST_CASE(a_death_and_a_restart_under_the_same_name)
{
  MemberScript().Run(R"(
    members 9 seed 1
    at 2s expect all agree on who serves
    at 2s kill m3
    at 8s expect all agree on who serves
    at 8s expect m1 takes m3 for gone
    at 8s restart m3
    at 11s expect all agree on who serves
    at 11s expect m1 takes m3 for serving
  )");
}

BOOST_AUTO_TEST_CASE(a_freeze_and_the_thaw)
{
  MemberScript().Run(R"(
    members 6 seed 2
    at 2s freeze m2 for 6s
    at 7s expect m1 takes m2 for gone
    at 12s expect all agree on who serves
    at 12s expect m1 takes m2 for serving
  )");
}

BOOST_AUTO_TEST_CASE(a_member_that_leaves)
{
  MemberScript().Run(R"(
    members 6 seed 3
    at 2s leave m4
    at 4s expect m1 takes m4 for gone
    at 4s expect all agree on who serves
  )");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(does_not_take_a_member_for_gone_over_one_cut_link)
{
  MemberScript().Run(R"(
    members 6 seed 4
    at 2s cut m1 from m2 for 10s
    at 5s expect m1 takes m2 for serving
    at 9s expect m2 takes m1 for serving
    at 9s expect all agree on who serves
  )");
}

BOOST_AUTO_TEST_CASE(spreads_a_generation_also_to_those_that_were_away)
{
  MemberScript().Run(R"(
    members 9 seed 5
    at 1s freeze m5 for 4s
    at 2s publish generation 2 to m1
    at 3s publish generation 3 to m7
    at 4s kill m8
    at 5s restart m8
    at 9s expect all are at generation 3
  )");
}

BOOST_AUTO_TEST_SUITE(under_random_faults_two_or_three_at_once)

BOOST_AUTO_TEST_CASE(agrees_again_once_they_are_over)
{
  constexpr uint64_t kSeeds = 150;
  constexpr size_t kMembers = 7;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::Random random(seed);
    MemberFleet fleet(kMembers, seed);
    uint64_t generation = 0;
    for (int second = 1; second <= 20; ++second) {
      fleet.RunTo(std::chrono::seconds(second));
      for (int fault = 0; fault < 3; ++fault) {
        size_t member = base::UniformIndex(random, kMembers);
        size_t other = base::UniformIndex(random, kMembers);
        base::Duration span = std::chrono::milliseconds(200 + base::UniformIndex(random, 4000));
        switch (base::UniformIndex(random, 6)) {
          case 0:
            fleet.Kill(member);
            break;
          case 1:
            fleet.IsAlive(member) ? fleet.Freeze(member, span) : fleet.Restart(member);
            break;
          case 2:
            fleet.Cut(member, other, span);
            break;
          case 3:
            fleet.Publish(member, ++generation);
            break;
          default:
            break;
        }
      }
    }
    for (size_t member = 0; member < kMembers; ++member) {
      if (!fleet.IsAlive(member)) {
        fleet.Restart(member);
      }
    }
    fleet.Publish(0, ++generation);
    fleet.RunTo(45s);
    for (size_t member = 0; member < kMembers; ++member) {
      BOOST_TEST((fleet.ServingAt(member) == fleet.Running()),
                 "seed " << seed << ": m" << member + 1);
      BOOST_TEST(fleet.GenerationAt(member) == generation, "seed " << seed << ": m" << member + 1);
    }
    BOOST_TEST(fleet.GenerationsFallen() == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
