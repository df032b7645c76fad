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

/// A log in a file of its own.
struct LoggedFile
{
  LoggedFile()
    : path(std::filesystem::temp_directory_path() /
           ("sapphirewind-log-" + std::to_string(getpid())))
  {
    std::filesystem::remove(this->path);
    telemetry::OpenLog(
      { .instance = "a \"quoted\" name", .file = this->path, .linesPerSecond = kLinesPerSecond });
  }

  ~LoggedFile() { std::filesystem::remove(this->path); }

  /// The lines; each must be a JSON object.
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

BOOST_FIXTURE_TEST_SUITE(the_log, LoggedFile)

BOOST_AUTO_TEST_CASE(writes_one_object_a_line_whatever_the_values_hold)
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

BOOST_AUTO_TEST_SUITE(in_a_flood_of_lines)

BOOST_AUTO_TEST_CASE(keeps_room_for_what_went_wrong)
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
