#include <document/Document.h>

#include <algorithm>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <regex>

namespace sapphirewind::document {

namespace {

constexpr int kMaxNesting = 64;

Json::CharReaderBuilder
StrictBuilder(bool aComments)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = aComments;
  builder["collectComments"] = false;
  builder["strictRoot"] = false;
  builder["rejectDupKeys"] = true;
  builder["stackLimit"] = kMaxNesting;
  return builder;
}

/// Runs the parser, which throws on input that is nested too deeply.
bool
RunParser(Json::CharReaderBuilder& aBuilder,
          std::string_view aText,
          Json::Value& aRoot,
          std::string& aErrors)
{
  std::unique_ptr<Json::CharReader> reader(aBuilder.newCharReader());
  try {
    return reader->parse(aText.data(), aText.data() + aText.size(), &aRoot, &aErrors);
  } catch (const Json::Exception& error) {
    aErrors = std::string("* Line 1, Column 1\n  ") + error.what();
    return false;
  }
}

/// Converts the parser's error report, with two or more lines for each error, to problems.
void
CollectSyntaxProblems(const std::string& aReport, Problems& aProblems)
{
  static const std::regex kErrorEntry(R"(\* Line (\d+), Column \d+\n\s*([^\n]+))");
  auto first = std::sregex_iterator(aReport.begin(), aReport.end(), kErrorEntry);
  for (auto match = first; match != std::sregex_iterator(); ++match) {
    aProblems.push_back(
      Problem{ .line = std::stoul((*match)[1]), .path = "", .message = (*match)[2] });
  }
  if (aProblems.empty()) {
    aProblems.push_back(Problem{ .line = 1, .path = "", .message = "not valid JSON" });
  }
}

size_t
Utf8SequenceLength(unsigned char aLeadByte)
{
  if (aLeadByte < 0x80) {
    return 1;
  }
  if (aLeadByte >= 0xC2 && aLeadByte < 0xE0) {
    return 2;
  }
  if (aLeadByte >= 0xE0 && aLeadByte < 0xF0) {
    return 3;
  }
  if (aLeadByte >= 0xF0 && aLeadByte < 0xF5) {
    return 4;
  }
  return 0;
}

bool
IsValidUtf8(std::string_view aText)
{
  size_t position = 0;
  while (position < aText.size()) {
    size_t length = Utf8SequenceLength(static_cast<unsigned char>(aText[position]));
    if (length == 0 || position + length > aText.size()) {
      return false;
    }
    for (size_t next = 1; next < length; ++next) {
      if ((static_cast<unsigned char>(aText[position + next]) & 0xC0) != 0x80) {
        return false;
      }
    }
    position += length;
  }
  return true;
}

} // namespace

std::string
Describe(const Problem& aProblem)
{
  std::string text = "line " + std::to_string(aProblem.line);
  if (!aProblem.path.empty()) {
    text += ", " + aProblem.path;
  }
  return text + ": " + aProblem.message;
}

std::optional<Document>
Document::Parse(std::string_view aText, Problems& aProblems)
{
  if (!IsValidUtf8(aText)) {
    aProblems.push_back(
      Problem{ .line = 1, .path = "", .message = "the document is not valid UTF-8" });
    return std::nullopt;
  }
  Document document;
  document.text = aText;
  Json::CharReaderBuilder builder = StrictBuilder(true);
  std::string report;
  if (!RunParser(builder, document.text, document.root, report)) {
    CollectSyntaxProblems(report, aProblems);
    return std::nullopt;
  }
  return document;
}

size_t
Document::LineOf(const Json::Value& aValue) const
{
  auto start = std::min<size_t>(static_cast<size_t>(aValue.getOffsetStart()), this->text.size());
  auto end = this->text.begin() + static_cast<std::ptrdiff_t>(start);
  return 1 + static_cast<size_t>(std::count(this->text.begin(), end, '\n'));
}

std::optional<Json::Value>
ParseMessage(std::string_view aText)
{
  if (!IsValidUtf8(aText)) {
    return std::nullopt;
  }
  Json::CharReaderBuilder builder = StrictBuilder(false);
  Json::Value root;
  std::string report;
  if (!RunParser(builder, aText, root, report)) {
    return std::nullopt;
  }
  return root;
}

std::string
Serialize(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
  }();
  return Json::writeString(kBuilder, aValue);
}

std::string
SerializeIndented(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

} // namespace sapphirewind::document
