/// @file The step definitions of scenarios with instances as processes.
#pragma once

#include "../language/Script.h"
#include "ScenarioFixture.h"

namespace sapphirewind::test {

/// Adds steps that set up a scenario, send load and inject faults.
void
AddActions(StepDefinitions& aDefinitions, ScenarioFixture& aFixture);

/// Adds steps that begin with `expect`.
void
AddExpectations(StepDefinitions& aDefinitions, ScenarioFixture& aFixture);

/// Runs a script. Throws StepFailed, with the line, at the first step that fails.
void
RunScript(const std::vector<Step>& aSteps, const StepDefinitions& aDefinitions);

} // namespace sapphirewind::test
