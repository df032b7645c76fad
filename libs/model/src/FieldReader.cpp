#include <model/FieldReader.h>

namespace sapphirewind::model {

namespace {
const Json::Value kEmptyList(Json::arrayValue);
const Json::Value kEmptyObject(Json::objectValue);
}

FieldReader::FieldReader(const Json::Value& aValue)
  : value(aValue)
  , ok(aValue.isObject())
{
}

const Json::Value*
FieldReader::Find(const char* aName)
{
  if (!this->value.isObject() || !this->value.isMember(aName)) {
    this->ok = false;
    return nullptr;
  }
  return &this->value[aName];
}

std::string
FieldReader::String(const char* aName)
{
  const Json::Value* member = this->Find(aName);
  if (!member || !member->isString()) {
    this->ok = false;
    return {};
  }
  return member->asString();
}

int64_t
FieldReader::Integer(const char* aName)
{
  const Json::Value* member = this->Find(aName);
  if (!member || !member->isInt64()) {
    this->ok = false;
    return 0;
  }
  return member->asInt64();
}

size_t
FieldReader::Size(const char* aName)
{
  int64_t number = this->Integer(aName);
  if (number < 0) {
    this->ok = false;
    return 0;
  }
  return static_cast<size_t>(number);
}

double
FieldReader::Number(const char* aName)
{
  const Json::Value* member = this->Find(aName);
  if (!member || !member->isNumeric()) {
    this->ok = false;
    return 0.0;
  }
  return member->asDouble();
}

bool
FieldReader::Boolean(const char* aName)
{
  const Json::Value* member = this->Find(aName);
  if (!member || !member->isBool()) {
    this->ok = false;
    return false;
  }
  return member->asBool();
}

const Json::Value&
FieldReader::List(const char* aName)
{
  const Json::Value* member = this->Find(aName);
  if (!member || !member->isArray()) {
    this->ok = false;
    return kEmptyList;
  }
  return *member;
}

const Json::Value&
FieldReader::Object(const char* aName)
{
  const Json::Value* member = this->Find(aName);
  if (!member || !member->isObject()) {
    this->ok = false;
    return kEmptyObject;
  }
  return *member;
}

std::vector<std::string>
FieldReader::Strings(const char* aName)
{
  std::vector<std::string> strings;
  for (const Json::Value& entry : this->List(aName)) {
    if (!entry.isString()) {
      this->ok = false;
      return {};
    }
    strings.push_back(entry.asString());
  }
  return strings;
}

Json::Value
StringsToJson(const std::vector<std::string>& aStrings)
{
  Json::Value list(Json::arrayValue);
  for (const std::string& text : aStrings) {
    list.append(text);
  }
  return list;
}

} // namespace sapphirewind::model
