#include "Script.h"

#include <document/Document.h>
#include <sstream>

namespace sapphirewind::test {

namespace {

std::string
Trim(const std::string& aText)
{
  size_t first = aText.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return {};
  }
  size_t last = aText.find_last_not_of(" \t\r");
  return aText.substr(first, last - first + 1);
}

} // namespace

std::optional<std::vector<Step>>
ParseScript(const std::string& aText, std::string& aError)
{
  static const std::regex kAt(R"(at (\S+) (.+))");
  std::vector<Step> steps;
  std::istringstream lines(aText);
  std::string line;
  for (size_t number = 1; std::getline(lines, line); ++number) {
    std::string text = Trim(line.substr(0, line.find('#')));
    if (text.empty()) {
      continue;
    }
    Step step{ .line = number, .text = text, .at = std::nullopt };
    std::smatch match;
    if (std::regex_match(text, match, kAt)) {
      step.at = document::ParseDuration(match[1].str());
      step.text = match[2];
      if (!step.at) {
        aError =
          "line " + std::to_string(number) + ": \"" + match[1].str() + "\" is not a duration";
        return std::nullopt;
      }
    }
    steps.push_back(step);
  }
  return steps;
}

void
StepDefinitions::Define(const std::string& aPattern, Action aAction)
{
  this->entries.push_back(Entry{ .pattern = std::regex(aPattern), .action = std::move(aAction) });
}

bool
StepDefinitions::Matches(const Step& aStep) const
{
  for (const Entry& entry : this->entries) {
    if (std::regex_match(aStep.text, entry.pattern)) {
      return true;
    }
  }
  return false;
}

void
StepDefinitions::Execute(const Step& aStep) const
{
  for (const Entry& entry : this->entries) {
    std::smatch match;
    if (std::regex_match(aStep.text, match, entry.pattern)) {
      entry.action(Captures(match.begin() + 1, match.end()));
      return;
    }
  }
  throw StepFailed("no definition matches step \"" + aStep.text + "\"");
}

base::Duration
ParseDurationArgument(const std::string& aText)
{
  std::optional<base::Duration> span = document::ParseDuration(aText);
  if (!span) {
    throw StepFailed("\"" + aText + "\" is not a duration");
  }
  return *span;
}

} // namespace sapphirewind::test
