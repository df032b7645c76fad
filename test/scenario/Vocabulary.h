/// @file The words of process scenarios.
#pragma once

#include "../language/Script.h"
#include "Stage.h"

namespace sapphirewind::test {

/// Steps that set a scene up and let things happen.
void
AddActions(Vocabulary& aVocabulary, Stage& aStage);

/// Steps that begin with `expect`.
void
AddExpectations(Vocabulary& aVocabulary, Stage& aStage);

/// Runs a script to its end. Throws StepFailed, with the line, at the first step that fails.
void
RunScript(const std::vector<Step>& aSteps, const Vocabulary& aVocabulary);

} // namespace sapphirewind::test
