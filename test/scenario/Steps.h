/// @file The words of process scenarios.
#pragma once

#include "../language/Script.h"
#include "ScenarioFixture.h"

namespace sapphirewind::test {

/// Steps that set a scene up and let things happen.
void
AddActions(StepDefinitions& aVocabulary, ScenarioFixture& aStage);

/// Steps that begin with `expect`.
void
AddExpectations(StepDefinitions& aVocabulary, ScenarioFixture& aStage);

/// Runs a script to its end. Throws StepFailed, with the line, at the first step that fails.
void
RunScript(const std::vector<Step>& aSteps, const StepDefinitions& aVocabulary);

} // namespace sapphirewind::test
