#include "Steps.h"

#include "Checks.h"
#include <algorithm>
#include <csignal>
#include <iostream>
#include <operations/Apply.h>
#include <set>

namespace sapphirewind::test {

namespace {

size_t
Number(const std::string& aText)
{
  return std::stoul(aText);
}

std::vector<std::string>
SplitCommas(const std::string& aText)
{
  static const std::regex kComma(",");
  return { std::sregex_token_iterator(aText.begin(), aText.end(), kComma, -1), {} };
}

void
AddScene(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define("seed (\\d+)",
                     [&](const Captures& aWords) { aStage.seed = Number(aWords[0]); });
  aVocabulary.Define("upstreams (\\S+) taking (\\S+)", [&](const Captures& aWords) {
    aStage.StartUpstreams(aWords[0], base::ToFractionalMillis(ParseDurationArgument(aWords[1])));
  });
  aVocabulary.Define(
    "upstreams (\\S+) in regions (\\S+) taking (\\S+)", [&](const Captures& aWords) {
      aStage.StartUpstreams(aWords[0],
                            base::ToFractionalMillis(ParseDurationArgument(aWords[2])),
                            SplitCommas(aWords[1]));
    });
  aVocabulary.Define("instances (\\d+) in regions (\\S+)", [&](const Captures& aWords) {
    aStage.StartInstances(Number(aWords[0]), SplitCommas(aWords[1]));
    aStage.WaitReady();
  });
  aVocabulary.Define("configuration (\\S+)",
                     [&](const Captures& aWords) { aStage.Apply(aWords[0], "setup"); });
  aVocabulary.Define("instances (\\d+)", [&](const Captures& aWords) {
    aStage.StartInstances(Number(aWords[0]));
    aStage.WaitReady();
  });
  aVocabulary.Define("wait (\\S+)", [](const Captures& aWords) {
    std::this_thread::sleep_for(ParseDurationArgument(aWords[0]));
  });
}

void
AddLoads(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define("search (\\S+) at (\\d+)/s for (\\S+)", [&](const Captures& aWords) {
    aStage.StartLoad(aWords[0] + ":" + aWords[1], ParseDurationArgument(aWords[2]), 0);
  });
  aVocabulary.Define(
    "book (\\S+) at (\\d+)/s for (\\S+), resending (\\d+) times", [&](const Captures& aWords) {
      aStage.StartLoad(
        "book/" + aWords[0] + ":" + aWords[1], ParseDurationArgument(aWords[2]), Number(aWords[3]));
    });
  aVocabulary.Define("send the crashing request to each instance, (\\d+) times, every (\\S+)",
                     [&](const Captures& aWords) {
                       aStage.SendCrashing(Number(aWords[0]), ParseDurationArgument(aWords[1]));
                     });
}

void
AddInstanceFaults(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define("kill instance (\\d+)",
                     [&](const Captures& aWords) { aStage.Kill(Number(aWords[0])); });
  aVocabulary.Define("start instance (\\d+)",
                     [&](const Captures& aWords) { aStage.StartInstance(Number(aWords[0])); });
  aVocabulary.Define("stop instance (\\d+)",
                     [&](const Captures& aWords) { aStage.StopGracefully(Number(aWords[0])); });
  aVocabulary.Define("freeze instance (\\d+) for (\\S+)", [&](const Captures& aWords) {
    aStage.Freeze(Number(aWords[0]), ParseDurationArgument(aWords[1]));
  });
}

void
AddPlatformFaults(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  // Each fault ends by itself after its time.
  auto timed = [&](base::Duration aFor,
                   const std::function<void(fakes::PlatformFaults&)>& aBegin,
                   const std::function<void(fakes::PlatformFaults&)>& aEnd) {
    aStage.ChangePlatform(aBegin);
    aStage.After(aFor, [&aStage, aEnd] { aStage.ChangePlatform(aEnd); });
  };
  aVocabulary.Define("platform down for (\\S+)", [timed](const Captures& aWords) {
    timed(
      ParseDurationArgument(aWords[0]),
      [](fakes::PlatformFaults& aFaults) { aFaults.down = true; },
      [](fakes::PlatformFaults& aFaults) { aFaults.down = false; });
  });
  aVocabulary.Define("platform slow by (\\S+) for (\\S+)", [timed](const Captures& aWords) {
    base::Duration delay = ParseDurationArgument(aWords[0]);
    timed(
      ParseDurationArgument(aWords[1]),
      [delay](fakes::PlatformFaults& aFaults) { aFaults.delay = delay; },
      [](fakes::PlatformFaults& aFaults) { aFaults.delay = base::Duration(0); });
  });
  aVocabulary.Define("platform stale by (\\S+) for (\\S+)", [timed](const Captures& aWords) {
    base::Duration stale = ParseDurationArgument(aWords[0]);
    timed(
      ParseDurationArgument(aWords[1]),
      [stale](fakes::PlatformFaults& aFaults) { aFaults.staleBy = stale; },
      [](fakes::PlatformFaults& aFaults) { aFaults.staleBy = base::Duration(0); });
  });
  aVocabulary.Define("platform loses the next (\\d+) answers", [&](const Captures& aWords) {
    size_t count = Number(aWords[0]);
    aStage.ChangePlatform([count](fakes::PlatformFaults& aFaults) { aFaults.loseAnswers = count; });
  });
  aVocabulary.Define("platform lists lag by (\\S+)", [&](const Captures& aWords) {
    base::Duration lag = ParseDurationArgument(aWords[0]);
    aStage.ChangePlatform([lag](fakes::PlatformFaults& aFaults) { aFaults.listLag = lag; });
  });
}

void
AddUpstreamFaults(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define("servers (\\S+) set (.+)", [&](const Captures& aWords) {
    std::optional<Json::Value> change = document::ParseMessage(aWords[1]);
    if (!change) {
      throw StepFailed("a behaviour is written as JSON");
    }
    std::vector<fakes::Upstream*> servers = aStage.Fleet().Matching(aWords[0]);
    if (servers.empty()) {
      throw StepFailed("no server matches " + aWords[0]);
    }
    for (fakes::Upstream* server : servers) {
      server->Set(fakes::BehaviourFromJson(*change, server->Behaviour()));
    }
  });
  aVocabulary.Define("crash servers (\\S+) for (\\S+)", [&](const Captures& aWords) {
    for (fakes::Upstream* server : aStage.Fleet().Matching(aWords[0])) {
      server->Crash(ParseDurationArgument(aWords[1]));
    }
  });
  aVocabulary.Define("publish snapshots? (.+)", [&](const Captures& aWords) {
    std::vector<int64_t> serials;
    std::istringstream words(aWords[0]);
    for (int64_t serial = 0; words >> serial;) {
      serials.push_back(serial);
    }
    aStage.Publish(serials);
  });
}

void
AddConfigurationSteps(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define("apply (\\S+) as (\\S+)",
                     [&](const Captures& aWords) { aStage.Apply(aWords[0], aWords[1]); });
  aVocabulary.Define("apply (\\S+) as (\\S+) and (\\S+) as (\\S+) together",
                     [&](const Captures& aWords) {
                       std::thread other([&] { aStage.Apply(aWords[0], aWords[1]); });
                       aStage.Apply(aWords[2], aWords[3]);
                       other.join();
                     });
}

/// Throws with the first few findings when there are any.
void
Require(const Violations& aFindings)
{
  constexpr size_t kShown = 5;
  if (aFindings.empty()) {
    return;
  }
  std::string text = std::to_string(aFindings.size()) + " finding(s)";
  for (size_t index = 0; index < std::min(kShown, aFindings.size()); ++index) {
    text += "\n    " + aFindings[index];
  }
  throw StepFailed(text);
}

std::vector<model::Snapshot>
AllSnapshots(ScenarioFixture& aStage)
{
  std::vector<model::Snapshot> snapshots;
  for (const fakes::ServicePlan& plan : aStage.Fleet().Options().services) {
    for (int64_t serial = 1; serial <= 9; ++serial) {
      snapshots.push_back(fakes::MakeSnapshot(plan, serial));
    }
  }
  return snapshots;
}

void
AddRequestExpectations(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define(
    "expect every answer is exact, from one snapshot, with true coverage",
    [&](const Captures&) { Require(CheckAnswersCorrect(aStage.Samples(), AllSnapshots(aStage))); });
  aVocabulary.Define("expect refused requests never ran", [&](const Captures&) {
    Require(CheckRefusedNotExecuted(aStage.Samples(), aStage.Fleet().Total()));
  });
  aVocabulary.Define("expect no booking ran twice", [&](const Captures&) {
    Require(CheckBookingsAtMostOnce(aStage.Samples(), aStage.Fleet().Total()));
  });
  aVocabulary.Define("expect no request is lost",
                     [&](const Captures&) { Require(CheckAllAnswered(aStage.Samples())); });
  aVocabulary.Define(
    "expect at least (\\d+) (searches|bookings) (whole|ran|partial|refused|unknown)",
    [&](const Captures& aWords) {
      size_t count = 0;
      for (const load::Sample& sample : aStage.Samples()) {
        bool whole = sample.total > 0 && sample.answered == sample.total;
        bool partial = sample.answered > 0 && sample.answered < sample.total;
        bool counts = (aWords[2] == "whole" && whole) || (aWords[2] == "partial" && partial) ||
                      (aWords[2] == "ran" && sample.outcome == model::Outcome::Ran) ||
                      (aWords[2] == "refused" && sample.outcome == model::Outcome::NotRun) ||
                      (aWords[2] == "unknown" && sample.outcome == model::Outcome::Unknown);
        count += counts && sample.booking == (aWords[1] == "bookings") ? 1 : 0;
      }
      if (count < Number(aWords[0])) {
        throw StepFailed("only " + std::to_string(count));
      }
    });
  aVocabulary.Define("expect snapshot (\\d+) is answered from", [&](const Captures& aWords) {
    for (const load::Sample& sample : aStage.Samples()) {
      if (sample.snapshot == "s" + aWords[0] && sample.answered > 0) {
        return;
      }
    }
    throw StepFailed("no answer is from it");
  });
}

void
AddUpstreamExpectations(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define("expect no new work at leaving servers after 3s", [&](const Captures&) {
    uint64_t late = aStage.Fleet().Total().startedWhileLeaving;
    if (late > 0) {
      throw StepFailed(std::to_string(late) + " requests started there");
    }
  });
  aVocabulary.Define("expect connection limits are kept", [&](const Captures&) {
    uint64_t refused = aStage.Fleet().Total().connectionsRefused;
    if (refused > 0) {
      throw StepFailed(std::to_string(refused) + " connections were above the limit");
    }
  });
  aVocabulary.Define("expect at most (\\d+) servers lost", [&](const Captures& aWords) {
    uint64_t crashes = aStage.Fleet().Total().crashes;
    if (crashes > Number(aWords[0])) {
      throw StepFailed(std::to_string(crashes) + " were lost");
    }
  });
  aVocabulary.Define("expect at least (\\d+) servers lost", [&](const Captures& aWords) {
    if (aStage.Fleet().Total().crashes < Number(aWords[0])) {
      throw StepFailed("fewer were lost, so nothing is shown");
    }
  });
  aVocabulary.Define("expect at most (\\d+) platform calls in any second",
                     [&](const Captures& aWords) {
                       uint64_t peak = aStage.Platform().Calls().peakPerSecond;
                       if (peak > Number(aWords[0])) {
                         throw StepFailed(std::to_string(peak) + " calls in one second");
                       }
                     });
}

void
AddFleetExpectations(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  aVocabulary.Define("expect stopped instances exit with 0", [&](const Captures&) {
    aStage.WaitForBackground();
    size_t asked = 0;
    for (const InstanceProcess& instance : aStage.Instances()) {
      asked += instance.asked ? 1 : 0;
      if (instance.asked && instance.exitCode != 0) {
        throw StepFailed("an instance exited with " + std::to_string(instance.exitCode));
      }
    }
    if (asked == 0) {
      throw StepFailed("no instance was asked to stop");
    }
  });
  aVocabulary.Define("expect generations never went back", [&](const Captures&) {
    if (aStage.GenerationsFallen() > 0) {
      throw StepFailed("an instance's generation fell");
    }
  });
  aVocabulary.Define("expect all instances reach generation (\\d+)", [&](const Captures& aWords) {
    constexpr base::Duration kLimit = std::chrono::seconds(15);
    base::Instant end = base::Now() + kLimit;
    for (size_t number = 1; number <= aStage.Instances().size(); ++number) {
      while (!aStage.Instances()[number - 1].ended &&
             aStage.GenerationOf(number) < Number(aWords[0])) {
        if (base::Now() >= end) {
          throw StepFailed("instance " + std::to_string(number) + " stays at " +
                           std::to_string(aStage.GenerationOf(number)));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    }
  });
  aVocabulary.Define(
    "expect the audit trail has (\\d+) accepted and (\\d+) lost", [&](const Captures& aWords) {
      base::Result<std::vector<operations::AuditEntry>> trail =
        operations::ReadAudit(aStage.Platform());
      if (!trail) {
        throw StepFailed("the trail cannot be read");
      }
      std::set<uint64_t> generations;
      size_t lost = 0;
      for (const operations::AuditEntry& entry : *trail) {
        bool accepted = entry.outcome == operations::AuditOutcome::Accepted;
        lost += accepted ? 0 : 1;
        if (accepted && !generations.insert(entry.generation).second) {
          throw StepFailed("generation " + std::to_string(entry.generation) + " stands twice");
        }
      }
      if (generations.size() != Number(aWords[0]) || lost != Number(aWords[1])) {
        throw StepFailed(std::to_string(generations.size()) + " accepted, " + std::to_string(lost) +
                         " lost");
      }
    });
}

} // namespace

void
AddActions(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  AddScene(aVocabulary, aStage);
  AddLoads(aVocabulary, aStage);
  AddInstanceFaults(aVocabulary, aStage);
  AddPlatformFaults(aVocabulary, aStage);
  AddUpstreamFaults(aVocabulary, aStage);
  AddConfigurationSteps(aVocabulary, aStage);
}

void
AddExpectations(StepDefinitions& aVocabulary, ScenarioFixture& aStage)
{
  AddRequestExpectations(aVocabulary, aStage);
  AddUpstreamExpectations(aVocabulary, aStage);
  AddFleetExpectations(aVocabulary, aStage);
}

void
RunScript(const std::vector<Step>& aSteps, const StepDefinitions& aVocabulary)
{
  static const std::regex kRun("run for (\\S+)");
  std::vector<Step> timed;
  auto run = [&](const Step& aStep) {
    std::cout << "  line " << aStep.line << ": " << aStep.text << std::endl;
    try {
      aVocabulary.Execute(aStep);
    } catch (const StepFailed& failure) {
      throw StepFailed("line " + std::to_string(aStep.line) + ": " + aStep.text + ": " +
                       failure.what());
    }
  };
  for (const Step& step : aSteps) {
    std::smatch match;
    if (step.at) {
      timed.push_back(step);
    } else if (std::regex_match(step.text, match, kRun)) {
      std::stable_sort(timed.begin(), timed.end(), [](const Step& aLeft, const Step& aRight) {
        return *aLeft.at < *aRight.at;
      });
      base::Instant start = base::Now();
      for (const Step& due : timed) {
        std::this_thread::sleep_until(start + *due.at);
        run(due);
      }
      timed.clear();
      std::this_thread::sleep_until(start + ParseDurationArgument(match[1]));
    } else {
      run(step);
    }
  }
}

} // namespace sapphirewind::test
