#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <json/reader.h>
#include <telemetry/Events.h>
#include <unistd.h>

using namespace sapphirewind;
using telemetry::Event;

namespace {

constexpr unsigned kLinesPerSecond = 40;

/// Directs the log to a temporary file.
struct LogFileFixture
{
  LogFileFixture()
    : path(std::filesystem::temp_directory_path() /
           ("sapphirewind-log-" + std::to_string(getpid())))
  {
    std::filesystem::remove(this->path);
    telemetry::OpenLog(
      { .instance = "a \"quoted\" name", .file = this->path, .linesPerSecond = kLinesPerSecond });
  }

  ~LogFileFixture() { std::filesystem::remove(this->path); }

  /// Reads the logged lines and requires that each one is a JSON object.
  std::vector<Json::Value> Lines() const
  {
    telemetry::FlushLog();
    std::ifstream file(this->path);
    std::vector<Json::Value> lines;
    std::string text;
    while (std::getline(file, text)) {
      Json::Value line;
      std::string errors;
      std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
      bool parsed = reader->parse(text.data(), text.data() + text.size(), &line, &errors);
      BOOST_REQUIRE_MESSAGE(parsed && line.isObject(), text);
      lines.push_back(line);
    }
    return lines;
  }

  size_t Count(const std::string& aName) const
  {
    size_t count = 0;
    for (const Json::Value& line : this->Lines()) {
      count += line["name"].asString() == aName ? 1 : 0;
    }
    return count;
  }

  std::filesystem::path path;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(logging, LogFileFixture)

BOOST_AUTO_TEST_CASE(writes_one_json_object_per_line_for_any_field_value)
{
  telemetry::Log(Event::ServerLeaving,
                 { { "server", "i-1\"\n\\ end" }, { "revision", 7 }, { "open", true } });
  std::vector<Json::Value> lines = this->Lines();
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["event"].asString() == "E0401");
  BOOST_TEST(lines[0]["name"].asString() == "ServerLeaving");
  BOOST_TEST(lines[0]["instance"].asString() == "a \"quoted\" name");
  BOOST_TEST(lines[0]["server"].asString() == "i-1\"\n\\ end");
  BOOST_TEST(lines[0]["revision"].asInt() == 7);
  BOOST_TEST(lines[0]["open"].asBool());
}

BOOST_AUTO_TEST_SUITE(above_the_line_limit)

BOOST_AUTO_TEST_CASE(leaves_room_for_lines_that_are_not_routine)
{
  uint64_t before = telemetry::DroppedLineCount();
  for (unsigned line = 0; line < kLinesPerSecond; ++line) {
    telemetry::LogRoutine(Event::RequestEnded, { { "line", line } });
  }
  telemetry::Log(Event::AttemptFailed, { { "server", "i-1" } });
  BOOST_TEST(this->Count("RequestEnded") < kLinesPerSecond);
  BOOST_TEST(this->Count("AttemptFailed") == 1U);
  BOOST_TEST(telemetry::DroppedLineCount() > before);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
