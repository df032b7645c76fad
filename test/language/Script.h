/// @file A line-based scenario language for tests, with one step per line:
///
///     # a comment
///     seed 7
///     instances 3
///     at 2s pause instance 2 for 5s
///     run for 10s
///     expect no booking ran twice
///
/// Steps that begin with `at TIME` are executed at that time within the next `run for`; all others
/// are executed in order. Step definitions map patterns to actions; a line that matches no pattern
/// is an error.
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
  /// The time since the start of the run, for steps that begin with `at`.
  std::optional<base::Duration> at;
};

/// Parses a script. On an error, returns nothing and describes the invalid line in aError.
std::optional<std::vector<Step>>
ParseScript(const std::string& aText, std::string& aError);

/// The substrings that a pattern's groups captured.
using Captures = std::vector<std::string>;

/// Executes a step. Throws StepFailed if it fails or its expectation does not hold.
using Action = std::function<void(const Captures&)>;

struct StepFailed : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Maps step patterns to actions.
class StepDefinitions
{
public:
  void Define(const std::string& aPattern, Action aAction);

  /// Executes the action of the first matching pattern. Throws StepFailed if none matches.
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

/// Parses a duration such as "2s". Throws StepFailed if it is invalid.
base::Duration
ParseDurationArgument(const std::string& aText);

} // namespace sapphirewind::test
