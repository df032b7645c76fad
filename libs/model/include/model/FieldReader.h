/// @file Reads typed fields of machine-generated JSON without exceptions.
#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace sapphirewind::model {

/// Reads the members of one message. After the last read, Ok returns whether all members were
/// present with the right type.
class FieldReader
{
public:
  explicit FieldReader(const Json::Value& aValue);

  std::string String(const char* aName);
  int64_t Integer(const char* aName);
  size_t Size(const char* aName);
  double Number(const char* aName);
  bool Boolean(const char* aName);
  std::vector<std::string> Strings(const char* aName);
  /// An array. Returns an empty one and clears Ok if it is absent or has another type.
  const Json::Value& List(const char* aName);
  const Json::Value& Object(const char* aName);

  /// Marks the message as invalid.
  void MarkInvalid() { this->ok = false; }
  bool Ok() const { return this->ok; }

private:
  const Json::Value* Find(const char* aName);

  const Json::Value& value;
  bool ok = true;
};

/// Converts strings to a JSON array.
Json::Value
StringsToJson(const std::vector<std::string>& aStrings);

} // namespace sapphirewind::model
