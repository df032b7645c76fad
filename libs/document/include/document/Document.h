/// @file Validating reader for JSON with comments. Reports all problems of a document together,
/// each with its line and path.
#pragma once

#include <base/Time.h>
#include <compare>
#include <cstdint>
#include <json/value.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::document {

/// One validation error of a document.
struct Problem
{
  size_t line = 0;
  std::string path;
  std::string message;

  auto operator<=>(const Problem&) const = default;
};

using Problems = std::vector<Problem>;

/// Formats a problem as "line 3, classes.dispatch: message".
std::string
Describe(const Problem& aProblem);

/// A parsed document together with its text, so that the line of each value can be reported.
class Document
{
public:
  /// Parses JSON with comments. Duplicate keys, trailing text, nesting deeper than 64 levels and
  /// invalid UTF-8 are reported as problems.
  static std::optional<Document> Parse(std::string_view aText, Problems& aProblems);

  const Json::Value& Root() const { return this->root; }

  /// The line, counted from 1, on which a value of this document begins.
  size_t LineOf(const Json::Value& aValue) const;

private:
  Json::Value root;
  std::string text;
};

/// Parses a machine-generated message, without comments and line numbers. Empty if malformed.
std::optional<Json::Value>
ParseMessage(std::string_view aText);

/// Serializes a value on one line.
std::string
Serialize(const Json::Value& aValue);

/// Serializes a value with indentation, for human readers.
std::string
SerializeIndented(const Json::Value& aValue);

/// Reads the members of one object and reports each problem, and finally each unknown key.
class ObjectReader
{
public:
  ObjectReader(const Document& aDocument,
               const Json::Value& aObject,
               std::string aPath,
               Problems& aProblems);

  /// A non-empty string.
  std::string RequiredString(const char* aName);
  std::string OptionalString(const char* aName, std::string aDefault);
  /// An integer from aMin to aMax.
  int64_t RequiredInteger(const char* aName, int64_t aMin, int64_t aMax);
  int64_t OptionalInteger(const char* aName, int64_t aDefault, int64_t aMin, int64_t aMax);
  bool OptionalBoolean(const char* aName, bool aDefault);
  /// A duration string such as "120ms", "5s" or "2min".
  base::Duration RequiredDuration(const char* aName);
  base::Duration OptionalDuration(const char* aName, base::Duration aDefault);
  /// A percentage string such as "99.9%", returned as a fraction.
  double RequiredPercent(const char* aName);
  double OptionalPercent(const char* aName, double aDefault);
  /// The member if it has the type; null otherwise.
  const Json::Value* RequiredObject(const char* aName);
  const Json::Value* OptionalObject(const char* aName);
  const Json::Value* OptionalArray(const char* aName);

  /// Marks a key as known without reading it.
  void MarkKnown(const char* aName);
  bool Has(const char* aName) const;
  /// Reports a problem at a member, or at the object if the member is absent.
  void AddProblem(const std::string& aName, const std::string& aMessage);
  /// Reports each member that was neither read nor marked as known. The message comes from aExplain
  /// if that returns one for the name.
  void RejectUnknown(std::string (*aExplain)(const std::string&) = nullptr);

private:
  const Json::Value* Find(const char* aName);

  const Document& document;
  const Json::Value& object;
  std::string path;
  Problems& problems;
  std::set<std::string> knownKeys;
};

/// Parses "120ms", "5s", "2min" or "3h".
std::optional<base::Duration>
ParseDuration(std::string_view aText);

/// Parses "99.9%" into 0.999.
std::optional<double>
ParsePercent(std::string_view aText);

} // namespace sapphirewind::document
