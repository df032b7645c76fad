#include <document/Document.h>

#include <cmath>
#include <regex>

namespace sapphirewind::document {

namespace {

constexpr double kMicrosPerMilli = 1000.0;
constexpr double kMicrosPerSecond = 1000.0 * kMicrosPerMilli;
constexpr double kMicrosPerMinute = 60.0 * kMicrosPerSecond;
constexpr double kMicrosPerHour = 60.0 * kMicrosPerMinute;

double
MicrosPerUnit(const std::string& aUnit)
{
  if (aUnit == "us") {
    return 1.0;
  }
  if (aUnit == "ms") {
    return kMicrosPerMilli;
  }
  if (aUnit == "s") {
    return kMicrosPerSecond;
  }
  if (aUnit == "min") {
    return kMicrosPerMinute;
  }
  return kMicrosPerHour;
}

} // namespace

std::optional<base::Duration>
ParseDuration(std::string_view aText)
{
  static const std::regex kPattern(R"((\d{1,9}(?:\.\d{1,6})?)\s?(us|ms|s|min|h))");
  std::string text(aText);
  std::smatch match;
  if (!std::regex_match(text, match, kPattern)) {
    return std::nullopt;
  }
  double micros = std::stod(match[1]) * MicrosPerUnit(match[2]);
  return base::Duration(static_cast<int64_t>(std::llround(micros)));
}

std::optional<double>
ParsePercent(std::string_view aText)
{
  static const std::regex kPattern(R"((\d{1,3}(?:\.\d{1,6})?)\s?%)");
  std::string text(aText);
  std::smatch match;
  if (!std::regex_match(text, match, kPattern)) {
    return std::nullopt;
  }
  double percent = std::stod(match[1]);
  if (percent > 100.0) {
    return std::nullopt;
  }
  return percent / 100.0;
}

ObjectReader::ObjectReader(const Document& aDocument,
                           const Json::Value& aObject,
                           std::string aPath,
                           Problems& aProblems)
  : document(aDocument)
  , object(aObject)
  , path(std::move(aPath))
  , problems(aProblems)
{
  if (!this->object.isObject()) {
    this->problems.push_back(Problem{ .line = this->document.LineOf(this->object),
                                      .path = this->path,
                                      .message = "must be an object {...}" });
  }
}

bool
ObjectReader::Has(const char* aName) const
{
  return this->object.isObject() && this->object.isMember(aName);
}

void
ObjectReader::MarkKnown(const char* aName)
{
  this->knownKeys.insert(aName);
}

const Json::Value*
ObjectReader::Find(const char* aName)
{
  this->MarkKnown(aName);
  return this->Has(aName) ? &this->object[aName] : nullptr;
}

void
ObjectReader::AddProblem(const std::string& aName, const std::string& aMessage)
{
  bool present = this->Has(aName.c_str());
  const Json::Value& place = present ? this->object[aName] : this->object;
  std::string where = this->path;
  if (!aName.empty()) {
    where += (where.empty() ? "" : ".") + aName;
  }
  this->problems.push_back(
    Problem{ .line = this->document.LineOf(place), .path = where, .message = aMessage });
}

std::string
ObjectReader::RequiredString(const char* aName)
{
  const Json::Value* value = this->Find(aName);
  if (!value) {
    this->AddProblem(aName, "is missing");
    return {};
  }
  if (!value->isString() || value->asString().empty()) {
    this->AddProblem(aName, "must be a non-empty string");
    return {};
  }
  return value->asString();
}

std::string
ObjectReader::OptionalString(const char* aName, std::string aDefault)
{
  return this->Has(aName) ? this->RequiredString(aName) : (this->MarkKnown(aName), aDefault);
}

int64_t
ObjectReader::RequiredInteger(const char* aName, int64_t aMin, int64_t aMax)
{
  const Json::Value* value = this->Find(aName);
  if (!value) {
    this->AddProblem(aName, "is missing");
    return aMin;
  }
  if (!value->isInt64() || value->asInt64() < aMin || value->asInt64() > aMax) {
    this->AddProblem(
      aName, "must be an integer from " + std::to_string(aMin) + " to " + std::to_string(aMax));
    return aMin;
  }
  return value->asInt64();
}

int64_t
ObjectReader::OptionalInteger(const char* aName, int64_t aDefault, int64_t aMin, int64_t aMax)
{
  this->MarkKnown(aName);
  return this->Has(aName) ? this->RequiredInteger(aName, aMin, aMax) : aDefault;
}

bool
ObjectReader::OptionalBoolean(const char* aName, bool aDefault)
{
  const Json::Value* value = this->Find(aName);
  if (!value) {
    return aDefault;
  }
  if (!value->isBool()) {
    this->AddProblem(aName, "must be true or false");
    return aDefault;
  }
  return value->asBool();
}

base::Duration
ObjectReader::RequiredDuration(const char* aName)
{
  const Json::Value* value = this->Find(aName);
  std::optional<base::Duration> duration;
  if (value && value->isString()) {
    duration = ParseDuration(value->asString());
  }
  if (!duration) {
    this->AddProblem(aName,
                     value ? "must be a duration with a unit, such as \"120ms\" or \"5s\""
                           : "is missing; specify a duration with a unit, such as \"120ms\"");
    return base::Duration(0);
  }
  return *duration;
}

base::Duration
ObjectReader::OptionalDuration(const char* aName, base::Duration aDefault)
{
  this->MarkKnown(aName);
  return this->Has(aName) ? this->RequiredDuration(aName) : aDefault;
}

double
ObjectReader::RequiredPercent(const char* aName)
{
  const Json::Value* value = this->Find(aName);
  std::optional<double> share;
  if (value && value->isString()) {
    share = ParsePercent(value->asString());
  }
  if (!share) {
    this->AddProblem(aName,
                     value ? "must be a percentage from \"0%\" to \"100%\""
                           : "is missing; specify a percentage such as \"99%\"");
    return 0.0;
  }
  return *share;
}

double
ObjectReader::OptionalPercent(const char* aName, double aDefault)
{
  this->MarkKnown(aName);
  return this->Has(aName) ? this->RequiredPercent(aName) : aDefault;
}

const Json::Value*
ObjectReader::OptionalObject(const char* aName)
{
  const Json::Value* value = this->Find(aName);
  if (value && !value->isObject()) {
    this->AddProblem(aName, "must be an object {...}");
    return nullptr;
  }
  return value;
}

const Json::Value*
ObjectReader::RequiredObject(const char* aName)
{
  if (!this->Has(aName)) {
    this->MarkKnown(aName);
    this->AddProblem(aName, "is missing");
    return nullptr;
  }
  return this->OptionalObject(aName);
}

const Json::Value*
ObjectReader::OptionalArray(const char* aName)
{
  const Json::Value* value = this->Find(aName);
  if (value && !value->isArray()) {
    this->AddProblem(aName, "must be an array [...]");
    return nullptr;
  }
  return value;
}

void
ObjectReader::RejectUnknown(std::string (*aExplain)(const std::string&))
{
  if (!this->object.isObject()) {
    return;
  }
  for (const std::string& name : this->object.getMemberNames()) {
    if (this->knownKeys.count(name)) {
      continue;
    }
    std::string advice = aExplain ? aExplain(name) : std::string();
    this->AddProblem(name, advice.empty() ? "unknown key" : advice);
  }
}

} // namespace sapphirewind::document
