/// @file Checked reading of JSON with comments: every problem with its line and path, all at once.
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

/// One thing that is wrong with a document.
struct Problem
{
  size_t line = 0;
  std::string path;
  std::string message;

  auto operator<=>(const Problem&) const = default;
};

using Problems = std::vector<Problem>;

/// "line 3, classes.dispatch: message".
std::string
Describe(const Problem& aProblem);

/// A parsed document that remembers its text, so that a value can be traced to its line.
class Document
{
public:
  /// Parses JSON with comments. Doubled names, trailing text, nesting deeper than 64 levels and
  /// texts that are not UTF-8 are problems.
  static std::optional<Document> Parse(std::string_view aText, Problems& aProblems);

  const Json::Value& Root() const { return this->root; }

  /// The line, from 1, on which a value of this document begins.
  size_t LineOf(const Json::Value& aValue) const;

private:
  Json::Value root;
  std::string text;
};

/// Parses a machine-made message: no comments kept, no line numbers. Empty when malformed.
std::optional<Json::Value>
ParseMessage(std::string_view aText);

/// Parses a message that carries values of other writers: bytes that are no text, doubled names and
/// deep nesting spoil only the value that has them. Empty when the message itself is malformed.
std::optional<Json::Value>
ParseLenientMessage(std::string_view aText);

/// Writes a value on one line.
std::string
Serialize(const Json::Value& aValue);

/// Writes a value indented, for people.
std::string
SerializeIndented(const Json::Value& aValue);

/// Reads the members of one object, notes each problem and at the end each unknown key.
class ObjectReader
{
public:
  ObjectReader(const Document& aDocument,
               const Json::Value& aObject,
               std::string aPath,
               Problems& aProblems);

  /// A text that must be there and not be empty.
  std::string RequiredString(const char* aName);
  std::string OptionalString(const char* aName, std::string aDefault);
  /// A whole number within bounds.
  int64_t RequiredInteger(const char* aName, int64_t aLowest, int64_t aHighest);
  int64_t OptionalInteger(const char* aName, int64_t aDefault, int64_t aLowest, int64_t aHighest);
  bool OptionalBoolean(const char* aName, bool aDefault);
  /// A text such as "120ms", "5s" or "2min".
  base::Duration RequiredDuration(const char* aName);
  base::Duration OptionalDuration(const char* aName, base::Duration aDefault);
  /// A text such as "99.9%", as a fraction.
  double RequiredPercent(const char* aName);
  double OptionalPercent(const char* aName, double aDefault);
  /// The member if it is an object; null otherwise.
  const Json::Value* RequiredObject(const char* aName);
  const Json::Value* OptionalObject(const char* aName);
  const Json::Value* OptionalArray(const char* aName);

  /// Marks a key as known without reading it.
  void MarkKnown(const char* aName);
  bool Has(const char* aName) const;
  /// Notes a problem at a member, or at the object if the member is absent.
  void AddProblem(const std::string& aName, const std::string& aMessage);
  /// Notes each member that nothing has read, with aExplain's advice for its name if any.
  void RejectUnknown(std::string (*aExplain)(const std::string&) = nullptr);

private:
  const Json::Value* Find(const char* aName);

  const Document& document;
  const Json::Value& object;
  std::string path;
  Problems& problems;
  std::set<std::string> known;
};

/// Parses "120ms", "5s", "2min" or "3h".
std::optional<base::Duration>
ParseDuration(std::string_view aText);

/// Parses "99.9%" into 0.999.
std::optional<double>
ParsePercent(std::string_view aText);

} // namespace sapphirewind::document
