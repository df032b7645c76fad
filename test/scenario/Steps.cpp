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
AddSetupSteps(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define("seed (\\d+)",
                      [&](const Captures& aCaptures) { aFixture.seed = Number(aCaptures[0]); });
  aDefinitions.Define(
    "upstreams (\\S+) with mean service time (\\S+)", [&](const Captures& aCaptures) {
      aFixture.StartUpstreams(aCaptures[0],
                              base::ToFractionalMillis(ParseDurationArgument(aCaptures[1])));
    });
  aDefinitions.Define("upstreams (\\S+) in regions (\\S+) with mean service time (\\S+)",
                      [&](const Captures& aCaptures) {
                        aFixture.StartUpstreams(
                          aCaptures[0],
                          base::ToFractionalMillis(ParseDurationArgument(aCaptures[2])),
                          SplitCommas(aCaptures[1]));
                      });
  aDefinitions.Define("instances (\\d+) in regions (\\S+)", [&](const Captures& aCaptures) {
    aFixture.StartInstances(Number(aCaptures[0]), SplitCommas(aCaptures[1]));
    aFixture.WaitReady();
  });
  aDefinitions.Define("configuration (\\S+)",
                      [&](const Captures& aCaptures) { aFixture.Apply(aCaptures[0], "setup"); });
  aDefinitions.Define("instances (\\d+)", [&](const Captures& aCaptures) {
    aFixture.StartInstances(Number(aCaptures[0]));
    aFixture.WaitReady();
  });
  aDefinitions.Define("wait (\\S+)", [](const Captures& aCaptures) {
    std::this_thread::sleep_for(ParseDurationArgument(aCaptures[0]));
  });
}

void
AddLoadSteps(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define("search (\\S+) at (\\d+)/s for (\\S+)", [&](const Captures& aCaptures) {
    aFixture.StartLoad(aCaptures[0] + ":" + aCaptures[1], ParseDurationArgument(aCaptures[2]), 0);
  });
  aDefinitions.Define("book (\\S+) at (\\d+)/s for (\\S+), with up to (\\d+) retries",
                      [&](const Captures& aCaptures) {
                        aFixture.StartLoad("book/" + aCaptures[0] + ":" + aCaptures[1],
                                           ParseDurationArgument(aCaptures[2]),
                                           Number(aCaptures[3]));
                      });
  aDefinitions.Define("send the crashing request to each instance, (\\d+) times, every (\\S+)",
                      [&](const Captures& aCaptures) {
                        aFixture.SendCrashing(Number(aCaptures[0]),
                                              ParseDurationArgument(aCaptures[1]));
                      });
}

void
AddInstanceFaultSteps(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define("kill instance (\\d+)",
                      [&](const Captures& aCaptures) { aFixture.Kill(Number(aCaptures[0])); });
  aDefinitions.Define("start instance (\\d+)", [&](const Captures& aCaptures) {
    aFixture.StartInstance(Number(aCaptures[0]));
  });
  aDefinitions.Define("stop instance (\\d+)", [&](const Captures& aCaptures) {
    aFixture.StopGracefully(Number(aCaptures[0]));
  });
  aDefinitions.Define("pause instance (\\d+) for (\\S+)", [&](const Captures& aCaptures) {
    aFixture.Pause(Number(aCaptures[0]), ParseDurationArgument(aCaptures[1]));
  });
}

void
AddPlatformFaultSteps(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  // Each fault ends after the given time.
  auto timed = [&](base::Duration aFor,
                   const std::function<void(fakes::PlatformFaults&)>& aBegin,
                   const std::function<void(fakes::PlatformFaults&)>& aEnd) {
    aFixture.UpdatePlatformFaults(aBegin);
    aFixture.RunAfter(aFor, [&aFixture, aEnd] { aFixture.UpdatePlatformFaults(aEnd); });
  };
  aDefinitions.Define("platform down for (\\S+)", [timed](const Captures& aCaptures) {
    timed(
      ParseDurationArgument(aCaptures[0]),
      [](fakes::PlatformFaults& aFaults) { aFaults.down = true; },
      [](fakes::PlatformFaults& aFaults) { aFaults.down = false; });
  });
  aDefinitions.Define("platform slow by (\\S+) for (\\S+)", [timed](const Captures& aCaptures) {
    base::Duration delay = ParseDurationArgument(aCaptures[0]);
    timed(
      ParseDurationArgument(aCaptures[1]),
      [delay](fakes::PlatformFaults& aFaults) { aFaults.delay = delay; },
      [](fakes::PlatformFaults& aFaults) { aFaults.delay = base::Duration(0); });
  });
  aDefinitions.Define("platform stale by (\\S+) for (\\S+)", [timed](const Captures& aCaptures) {
    base::Duration stale = ParseDurationArgument(aCaptures[0]);
    timed(
      ParseDurationArgument(aCaptures[1]),
      [stale](fakes::PlatformFaults& aFaults) { aFaults.staleBy = stale; },
      [](fakes::PlatformFaults& aFaults) { aFaults.staleBy = base::Duration(0); });
  });
  aDefinitions.Define("platform loses the next (\\d+) responses", [&](const Captures& aCaptures) {
    size_t count = Number(aCaptures[0]);
    aFixture.UpdatePlatformFaults(
      [count](fakes::PlatformFaults& aFaults) { aFaults.loseAnswers = count; });
  });
  aDefinitions.Define("platform lists lag by (\\S+)", [&](const Captures& aCaptures) {
    base::Duration lag = ParseDurationArgument(aCaptures[0]);
    aFixture.UpdatePlatformFaults([lag](fakes::PlatformFaults& aFaults) { aFaults.listLag = lag; });
  });
}

void
AddUpstreamFaultSteps(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define("servers (\\S+) set (.+)", [&](const Captures& aCaptures) {
    std::optional<Json::Value> change = document::ParseMessage(aCaptures[1]);
    if (!change) {
      throw StepFailed("the behaviour is not valid JSON");
    }
    std::vector<fakes::Upstream*> servers = aFixture.Fleet().Matching(aCaptures[0]);
    if (servers.empty()) {
      throw StepFailed("no server matches " + aCaptures[0]);
    }
    for (fakes::Upstream* server : servers) {
      server->SetBehaviour(fakes::BehaviourFromJson(*change, server->Behaviour()));
    }
  });
  aDefinitions.Define("crash servers (\\S+) for (\\S+)", [&](const Captures& aCaptures) {
    for (fakes::Upstream* server : aFixture.Fleet().Matching(aCaptures[0])) {
      server->Crash(ParseDurationArgument(aCaptures[1]));
    }
  });
  aDefinitions.Define("publish snapshots? (.+)", [&](const Captures& aCaptures) {
    std::vector<int64_t> serials;
    std::istringstream words(aCaptures[0]);
    for (int64_t serial = 0; words >> serial;) {
      serials.push_back(serial);
    }
    aFixture.PublishSnapshots(serials);
  });
}

void
AddConfigurationSteps(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define("apply (\\S+) as (\\S+)", [&](const Captures& aCaptures) {
    aFixture.Apply(aCaptures[0], aCaptures[1]);
  });
  aDefinitions.Define("apply (\\S+) as (\\S+) and (\\S+) as (\\S+) concurrently",
                      [&](const Captures& aCaptures) {
                        std::thread other([&] { aFixture.Apply(aCaptures[0], aCaptures[1]); });
                        aFixture.Apply(aCaptures[2], aCaptures[3]);
                        other.join();
                      });
}

/// Throws with the first violations if there are any.
void
RequireNoViolations(const Violations& aViolations)
{
  constexpr size_t kMaxShown = 5;
  if (aViolations.empty()) {
    return;
  }
  std::string text = std::to_string(aViolations.size()) + " violation(s)";
  for (size_t index = 0; index < std::min(kMaxShown, aViolations.size()); ++index) {
    text += "\n    " + aViolations[index];
  }
  throw StepFailed(text);
}

std::vector<model::Snapshot>
AllSnapshots(ScenarioFixture& aFixture)
{
  std::vector<model::Snapshot> snapshots;
  for (const fakes::ServicePlan& plan : aFixture.Fleet().Options().services) {
    for (int64_t serial = 1; serial <= 9; ++serial) {
      snapshots.push_back(fakes::MakeSnapshot(plan, serial));
    }
  }
  return snapshots;
}

void
AddRequestExpectations(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define("expect every answer is correct, from one snapshot, with accurate coverage",
                      [&](const Captures&) {
                        RequireNoViolations(
                          CheckAnswersCorrect(aFixture.Samples(), AllSnapshots(aFixture)));
                      });
  aDefinitions.Define("expect refused requests never ran", [&](const Captures&) {
    RequireNoViolations(CheckRefusedNotExecuted(aFixture.Samples(), aFixture.Fleet().Total()));
  });
  aDefinitions.Define("expect no booking ran twice", [&](const Captures&) {
    RequireNoViolations(CheckBookingsAtMostOnce(aFixture.Samples(), aFixture.Fleet().Total()));
  });
  aDefinitions.Define("expect every request is answered", [&](const Captures&) {
    RequireNoViolations(CheckAllAnswered(aFixture.Samples()));
  });
  aDefinitions.Define(
    "expect at least (\\d+) (searches|bookings) (whole|ran|partial|refused|unknown)",
    [&](const Captures& aCaptures) {
      size_t count = 0;
      for (const load::Sample& sample : aFixture.Samples()) {
        bool whole = sample.totalShards > 0 && sample.answeredShards == sample.totalShards;
        bool partial = sample.answeredShards > 0 && sample.answeredShards < sample.totalShards;
        bool counts = (aCaptures[2] == "whole" && whole) ||
                      (aCaptures[2] == "partial" && partial) ||
                      (aCaptures[2] == "ran" && sample.outcome == model::Outcome::Ran) ||
                      (aCaptures[2] == "refused" && sample.outcome == model::Outcome::NotRun) ||
                      (aCaptures[2] == "unknown" && sample.outcome == model::Outcome::Unknown);
        count += counts && sample.booking == (aCaptures[1] == "bookings") ? 1 : 0;
      }
      if (count < Number(aCaptures[0])) {
        throw StepFailed("counted only " + std::to_string(count));
      }
    });
  aDefinitions.Define("expect an answer from snapshot (\\d+)", [&](const Captures& aCaptures) {
    for (const load::Sample& sample : aFixture.Samples()) {
      if (sample.snapshot == "s" + aCaptures[0] && sample.answeredShards > 0) {
        return;
      }
    }
    throw StepFailed("no answer is from this snapshot");
  });
}

void
AddUpstreamExpectations(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define(
    "expect no requests started on servers draining for over 3s", [&](const Captures&) {
      uint64_t started = aFixture.Fleet().Total().startedWhileLeaving;
      if (started > 0) {
        throw StepFailed(std::to_string(started) + " requests started on such servers");
      }
    });
  aDefinitions.Define("expect connection limits are not exceeded", [&](const Captures&) {
    uint64_t refused = aFixture.Fleet().Total().connectionsRefused;
    if (refused > 0) {
      throw StepFailed(std::to_string(refused) + " connections were refused above the limit");
    }
  });
  aDefinitions.Define("expect at most (\\d+) server crashes", [&](const Captures& aCaptures) {
    uint64_t crashes = aFixture.Fleet().Total().crashes;
    if (crashes > Number(aCaptures[0])) {
      throw StepFailed(std::to_string(crashes) + " server crashes");
    }
  });
  aDefinitions.Define("expect at least (\\d+) server crashes", [&](const Captures& aCaptures) {
    if (aFixture.Fleet().Total().crashes < Number(aCaptures[0])) {
      throw StepFailed("fewer crashes, so the scenario did not exercise them");
    }
  });
  aDefinitions.Define("expect at most (\\d+) platform calls in any second",
                      [&](const Captures& aCaptures) {
                        uint64_t peak = aFixture.Platform().Calls().peakPerSecond;
                        if (peak > Number(aCaptures[0])) {
                          throw StepFailed(std::to_string(peak) + " calls in one second");
                        }
                      });
}

void
AddInstanceExpectations(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  aDefinitions.Define("expect stopped instances exit with 0", [&](const Captures&) {
    aFixture.WaitForBackground();
    size_t stopRequests = 0;
    for (const InstanceProcess& instance : aFixture.Instances()) {
      stopRequests += instance.stopRequested ? 1 : 0;
      if (instance.stopRequested && instance.exitCode != 0) {
        throw StepFailed("an instance exited with code " + std::to_string(instance.exitCode));
      }
    }
    if (stopRequests == 0) {
      throw StepFailed("no instance was requested to stop");
    }
  });
  aDefinitions.Define("expect generations never decrease", [&](const Captures&) {
    if (aFixture.GenerationDecreases() > 0) {
      throw StepFailed("the generation of an instance decreased");
    }
  });
  aDefinitions.Define(
    "expect all instances reach generation (\\d+)", [&](const Captures& aCaptures) {
      constexpr base::Duration kTimeout = std::chrono::seconds(15);
      base::Instant end = base::Now() + kTimeout;
      for (size_t number = 1; number <= aFixture.Instances().size(); ++number) {
        while (!aFixture.Instances()[number - 1].exited &&
               aFixture.GenerationOf(number) < Number(aCaptures[0])) {
          if (base::Now() >= end) {
            throw StepFailed("instance " + std::to_string(number) + " is still at generation " +
                             std::to_string(aFixture.GenerationOf(number)));
          }
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
      }
    });
  aDefinitions.Define(
    "expect the audit trail has (\\d+) accepted and (\\d+) conflicting updates",
    [&](const Captures& aCaptures) {
      base::Result<std::vector<operations::AuditEntry>> trail =
        operations::ReadAudit(aFixture.Platform());
      if (!trail) {
        throw StepFailed("cannot read the audit trail");
      }
      std::set<uint64_t> generations;
      size_t conflicts = 0;
      for (const operations::AuditEntry& entry : *trail) {
        bool accepted = entry.outcome == operations::AuditOutcome::Accepted;
        conflicts += accepted ? 0 : 1;
        if (accepted && !generations.insert(entry.generation).second) {
          throw StepFailed("generation " + std::to_string(entry.generation) + " is accepted twice");
        }
      }
      if (generations.size() != Number(aCaptures[0]) || conflicts != Number(aCaptures[1])) {
        throw StepFailed(std::to_string(generations.size()) + " accepted, " +
                         std::to_string(conflicts) + " conflicting");
      }
    });
}

} // namespace

void
AddActions(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  AddSetupSteps(aDefinitions, aFixture);
  AddLoadSteps(aDefinitions, aFixture);
  AddInstanceFaultSteps(aDefinitions, aFixture);
  AddPlatformFaultSteps(aDefinitions, aFixture);
  AddUpstreamFaultSteps(aDefinitions, aFixture);
  AddConfigurationSteps(aDefinitions, aFixture);
}

void
AddExpectations(StepDefinitions& aDefinitions, ScenarioFixture& aFixture)
{
  AddRequestExpectations(aDefinitions, aFixture);
  AddUpstreamExpectations(aDefinitions, aFixture);
  AddInstanceExpectations(aDefinitions, aFixture);
}

void
RunScript(const std::vector<Step>& aSteps, const StepDefinitions& aDefinitions)
{
  static const std::regex kRun("run for (\\S+)");
  std::vector<Step> timed;
  auto run = [&](const Step& aStep) {
    std::cout << "  line " << aStep.line << ": " << aStep.text << std::endl;
    try {
      aDefinitions.Execute(aStep);
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
