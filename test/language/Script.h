/// @file The small test language: one step a line, read as a story.
///
///     # a comment
///     seed 7
///     instances 3
///     at 2s freeze instance 2 for 5s
///     run for 10s
///     expect no booking ran twice
///
/// A step may begin with `at TIME`; such steps happen during `run for`. The rest happens in order.
/// What the steps mean is given by patterns, each with an action; a line that matches none is an
/// error.
#pragma once

#include <base/Time.h>
#include <functional>
#include <optional>
#include <regex>
#include <string>
#include <vector>

namespace sapphirewind::test {

struct Step
{
  size_t line = 0;
  std::string text;
  /// The moment within the run, for steps that begin with `at`.
  std::optional<base::Duration> at;
};

/// Reads steps; on an error returns nothing and says in aError which line is wrong.
std::optional<std::vector<Step>>
ParseScript(const std::string& aText, std::string& aError);

/// A pattern's captured words.
using Captures = std::vector<std::string>;

/// What a step does. Throws StepFailed when it cannot, or when what it expects does not hold.
using Action = std::function<void(const Captures&)>;

struct StepFailed : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Patterns with their actions.
class StepDefinitions
{
public:
  void Define(const std::string& aPattern, Action aAction);

  /// Runs the action of the first pattern that matches. Throws StepFailed when none does.
  void Execute(const Step& aStep) const;

  bool Matches(const Step& aStep) const;

private:
  struct Entry
  {
    std::regex pattern;
    Action action;
  };
  std::vector<Entry> entries;
};

/// "2s" as a duration. Throws StepFailed when it is none.
base::Duration
ParseDurationArgument(const std::string& aText);

} // namespace sapphirewind::test
