#include <telemetry/Events.h>

#include <algorithm>
#include <base/Time.h>
#include <cassert>
#include <json/writer.h>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace sapphirewind::telemetry {

namespace {

spdlog::level::level_enum
ToSpdlogLevel(Level aLevel)
{
  switch (aLevel) {
    case Level::Debug:
      return spdlog::level::debug;
    case Level::Info:
      return spdlog::level::info;
    case Level::Warning:
      return spdlog::level::warn;
    case Level::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

const EventInfo&
FindEventInfo(Event aEvent)
{
  const std::vector<EventInfo>& events = AllEvents();
  auto found = std::find_if(
    events.begin(), events.end(), [&](const EventInfo& aInfo) { return aInfo.event == aEvent; });
  assert(found != events.end() && "event is missing from AllEvents()");
  return *found;
}

/// The capacity of the asynchronous logger's queue, in lines.
constexpr size_t kQueueCapacity = 4096;

std::shared_ptr<spdlog::sinks::sink>
MakeSink(const LogOptions& aOptions)
{
  if (aOptions.file.empty()) {
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  if (aOptions.file == "-") {
    return std::make_shared<spdlog::sinks::stdout_sink_mt>();
  }
  return std::make_shared<spdlog::sinks::basic_file_sink_mt>(aOptions.file);
}

std::shared_ptr<spdlog::logger>
MakeLogger(const LogOptions& aOptions)
{
  std::shared_ptr<spdlog::sinks::sink> sink = MakeSink(aOptions);
  if (!aOptions.async) {
    return std::make_shared<spdlog::logger>("sapphirewind", sink);
  }
  spdlog::init_thread_pool(kQueueCapacity, 1);
  return std::make_shared<spdlog::async_logger>(
    "sapphirewind", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
}

/// A limit on lines per second, counted in windows of one second.
struct LineRateLimit
{
  std::mutex lock;
  unsigned maxPerSecond = 0;
  base::Instant windowStart{};
  unsigned lines = 0;
  unsigned routineLines = 0;
  unsigned dropped = 0;
  uint64_t droppedEarlier = 0;
};

/// The limit for routine lines is the limit for all lines divided by this.
constexpr unsigned kRoutineLimitDivisor = 2;

LineRateLimit&
GlobalLineLimit()
{
  static LineRateLimit limit;
  return limit;
}

/// Returns whether the limit permits one more line. When this starts a new window, aDropped is set
/// to the number of lines dropped in the previous one.
bool
TryAcquireLine(bool aIsRoutine, base::Instant aNow, unsigned& aDropped)
{
  LineRateLimit& limit = GlobalLineLimit();
  std::lock_guard guard(limit.lock);
  if (limit.maxPerSecond == 0) {
    return true;
  }
  if (aNow - limit.windowStart >= std::chrono::seconds(1)) {
    aDropped = limit.dropped;
    limit.droppedEarlier += limit.dropped;
    limit.windowStart = aNow;
    limit.lines = 0;
    limit.routineLines = 0;
    limit.dropped = 0;
  }
  bool withinLimit = limit.lines < limit.maxPerSecond;
  bool withinRoutineLimit = limit.routineLines < limit.maxPerSecond / kRoutineLimitDivisor;
  bool allowed = withinLimit && (!aIsRoutine || withinRoutineLimit);
  ++(allowed ? limit.lines : limit.dropped);
  limit.routineLines += allowed && aIsRoutine ? 1 : 0;
  return allowed;
}

/// The instance name as a JSON string, written into every line.
std::string&
InstanceName()
{
  static std::string name = "\"\"";
  return name;
}

void
Write(const EventInfo& aInfo, std::initializer_list<Field> aFields)
{
  std::string line = fmt::format(R"("instance":{},"event":"E{:04d}","name":"{}")",
                                 InstanceName(),
                                 static_cast<int>(aInfo.event),
                                 aInfo.name);
  for (const Field& field : aFields) {
    line += fmt::format(R"(,"{}":{})", field.name, field.value.Json());
  }
  spdlog::default_logger_raw()->log(ToSpdlogLevel(aInfo.level), line);
}

void
LogLine(Event aEvent, bool aIsRoutine, std::initializer_list<Field> aFields)
{
  const EventInfo& info = FindEventInfo(aEvent);
  if (!spdlog::default_logger_raw()->should_log(ToSpdlogLevel(info.level))) {
    return;
  }
  unsigned dropped = 0;
  bool allowed = TryAcquireLine(aIsRoutine, base::Now(), dropped);
  if (dropped > 0) {
    Write(FindEventInfo(Event::LogLinesDropped), { { "lines", dropped } });
  }
  if (allowed) {
    Write(info, aFields);
  }
}

std::string
WriteJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
  }();
  return Json::writeString(kBuilder, aValue);
}

} // namespace

FieldValue::FieldValue(const std::string& aText)
  : json(Json::valueToQuotedString(aText.c_str()))
{
}

FieldValue::FieldValue(const char* aText)
  : json(Json::valueToQuotedString(aText))
{
}

FieldValue::FieldValue(const Json::Value& aValue)
  : json(WriteJson(aValue))
{
}

void
OpenLog(const LogOptions& aOptions)
{
  std::shared_ptr<spdlog::logger> logger = MakeLogger(aOptions);
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})");
  InstanceName() = FieldValue(aOptions.instance).Json();
  logger->set_level(ToSpdlogLevel(aOptions.minLevel));
  if (!aOptions.async) {
    logger->flush_on(spdlog::level::info);
  }
  spdlog::set_default_logger(logger);
  GlobalLineLimit().maxPerSecond = aOptions.linesPerSecond;
}

void
Log(Event aEvent, std::initializer_list<Field> aFields)
{
  LogLine(aEvent, false, aFields);
}

void
LogRoutine(Event aEvent, std::initializer_list<Field> aFields)
{
  LogLine(aEvent, true, aFields);
}

uint64_t
DroppedLineCount()
{
  LineRateLimit& limit = GlobalLineLimit();
  uint64_t overrun = spdlog::thread_pool() ? spdlog::thread_pool()->overrun_counter() : 0;
  std::lock_guard guard(limit.lock);
  return limit.droppedEarlier + limit.dropped + overrun;
}

void
FlushLog()
{
  spdlog::default_logger_raw()->flush();
}

} // namespace sapphirewind::telemetry
