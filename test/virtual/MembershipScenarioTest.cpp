#include "../language/Script.h"
#include "MembershipSimulation.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sapphirewind;
using namespace sapphirewind::test;
using namespace std::chrono_literals;

namespace {

/// Runs scenarios written in the test language. A step with `at` first advances the virtual clock
/// to that time.
class MembershipScenario
{
public:
  MembershipScenario()
  {
    this->vocabulary.Define("members (\\d+) seed (\\d+)", [this](const Captures& aWords) {
      this->simulation =
        std::make_unique<MembershipSimulation>(Number(aWords[0]), Number(aWords[1]));
    });
    this->vocabulary.Define(
      "kill m(\\d+)", [this](const Captures& aWords) { this->simulation->Kill(Index(aWords[0])); });
    this->vocabulary.Define("restart m(\\d+)", [this](const Captures& aWords) {
      this->simulation->Restart(Index(aWords[0]));
    });
    this->vocabulary.Define("leave m(\\d+)", [this](const Captures& aWords) {
      this->simulation->Leave(Index(aWords[0]));
    });
    this->vocabulary.Define("suspend m(\\d+) for (\\S+)", [this](const Captures& aWords) {
      this->simulation->Suspend(Index(aWords[0]), ParseDurationArgument(aWords[1]));
    });
    this->vocabulary.Define("cut m(\\d+) from m(\\d+) for (\\S+)", [this](const Captures& aWords) {
      this->simulation->CutLink(
        Index(aWords[0]), Index(aWords[1]), ParseDurationArgument(aWords[2]));
    });
    this->vocabulary.Define("publish generation (\\d+) to m(\\d+)", [this](const Captures& aWords) {
      this->simulation->Publish(Index(aWords[1]), Number(aWords[0]));
    });
    this->vocabulary.Define("expect all agree on the serving members",
                            [this](const Captures&) { this->ExpectAgreement(); });
    this->vocabulary.Define(
      "expect m(\\d+) lists m(\\d+) as (serving|not serving)", [this](const Captures& aWords) {
        bool serving = this->simulation->ServingSeenBy(Index(aWords[0])).count("m" + aWords[1]) > 0;
        if (serving != (aWords[2] == "serving")) {
          throw StepFailed("the member is listed otherwise");
        }
      });
    this->vocabulary.Define("expect all are at generation (\\d+)", [this](const Captures& aWords) {
      for (size_t member = 0; member < this->simulation->Count(); ++member) {
        if (this->simulation->IsAlive(member) &&
            this->simulation->GenerationAt(member) != Number(aWords[0])) {
          throw StepFailed(MembershipSimulation::MemberName(member) + " is at generation " +
                           std::to_string(this->simulation->GenerationAt(member)));
        }
      }
      if (this->simulation->GenerationRegressions() > 0) {
        throw StepFailed("the generation of a running member decreased");
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
        this->simulation->RunTo(*step.at);
      }
      try {
        this->vocabulary.Execute(step);
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
    for (size_t member = 0; member < this->simulation->Count(); ++member) {
      bool running =
        this->simulation->RunningMembers().count(MembershipSimulation::MemberName(member)) > 0;
      if (running &&
          this->simulation->ServingSeenBy(member) != this->simulation->RunningMembers()) {
        throw StepFailed(MembershipSimulation::MemberName(member) +
                         " has a different set of serving members");
      }
    }
  }

  StepDefinitions vocabulary;
  std::unique_ptr<MembershipSimulation> simulation;
};

}

BOOST_AUTO_TEST_SUITE(membership_on_a_virtual_clock)

BOOST_AUTO_TEST_SUITE(detects)

BOOST_AUTO_TEST_CASE(a_crash_and_a_restart_under_the_same_name)
{
  MembershipScenario().Run(R"(
    members 9 seed 1
    at 2s expect all agree on the serving members
    at 2s kill m3
    at 8s expect all agree on the serving members
    at 8s expect m1 lists m3 as not serving
    at 8s restart m3
    at 11s expect all agree on the serving members
    at 11s expect m1 lists m3 as serving
  )");
}

BOOST_AUTO_TEST_CASE(a_suspension_and_its_end)
{
  MembershipScenario().Run(R"(
    members 6 seed 2
    at 2s suspend m2 for 6s
    at 7s expect m1 lists m2 as not serving
    at 12s expect all agree on the serving members
    at 12s expect m1 lists m2 as serving
  )");
}

BOOST_AUTO_TEST_CASE(a_member_that_leaves)
{
  MembershipScenario().Run(R"(
    members 6 seed 3
    at 2s leave m4
    at 4s expect m1 lists m4 as not serving
    at 4s expect all agree on the serving members
  )");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(keeps_a_member_that_is_unreachable_over_one_link_only)
{
  MembershipScenario().Run(R"(
    members 6 seed 4
    at 2s cut m1 from m2 for 10s
    at 5s expect m1 lists m2 as serving
    at 9s expect m2 lists m1 as serving
    at 9s expect all agree on the serving members
  )");
}

BOOST_AUTO_TEST_CASE(spreads_a_generation_to_suspended_and_restarted_members)
{
  MembershipScenario().Run(R"(
    members 9 seed 5
    at 1s suspend m5 for 4s
    at 2s publish generation 2 to m1
    at 3s publish generation 3 to m7
    at 4s kill m8
    at 5s restart m8
    at 9s expect all are at generation 3
  )");
}

BOOST_AUTO_TEST_SUITE(under_overlapping_random_faults)

BOOST_AUTO_TEST_CASE(converges_after_the_faults_end)
{
  constexpr uint64_t kSeeds = 150;
  constexpr size_t kMembers = 7;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::Random random(seed);
    MembershipSimulation simulation(kMembers, seed);
    uint64_t generation = 0;
    for (int second = 1; second <= 20; ++second) {
      simulation.RunTo(std::chrono::seconds(second));
      for (int fault = 0; fault < 3; ++fault) {
        size_t member = base::UniformIndex(random, kMembers);
        size_t other = base::UniformIndex(random, kMembers);
        base::Duration duration = std::chrono::milliseconds(200 + base::UniformIndex(random, 4000));
        switch (base::UniformIndex(random, 6)) {
          case 0:
            simulation.Kill(member);
            break;
          case 1:
            simulation.IsAlive(member) ? simulation.Suspend(member, duration)
                                       : simulation.Restart(member);
            break;
          case 2:
            simulation.CutLink(member, other, duration);
            break;
          case 3:
            simulation.Publish(member, ++generation);
            break;
          default:
            break;
        }
      }
    }
    for (size_t member = 0; member < kMembers; ++member) {
      if (!simulation.IsAlive(member)) {
        simulation.Restart(member);
      }
    }
    simulation.Publish(0, ++generation);
    simulation.RunTo(45s);
    for (size_t member = 0; member < kMembers; ++member) {
      BOOST_TEST((simulation.ServingSeenBy(member) == simulation.RunningMembers()),
                 "seed " << seed << ": m" << member + 1);
      BOOST_TEST(simulation.GenerationAt(member) == generation,
                 "seed " << seed << ": m" << member + 1);
    }
    BOOST_TEST(simulation.GenerationRegressions() == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
