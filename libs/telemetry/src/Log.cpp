#include <telemetry/Events.h>

#include <algorithm>
#include <base/Time.h>
#include <cassert>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace sapphirewind::telemetry {

namespace {

spdlog::level::level_enum
LibraryLevel(Level aLevel)
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
InfoOf(Event aEvent)
{
  const std::vector<EventInfo>& events = AllEvents();
  auto found = std::find_if(
    events.begin(), events.end(), [&](const EventInfo& aInfo) { return aInfo.event == aEvent; });
  assert(found != events.end() && "every event is in the list");
  return *found;
}

/// Lines that a thread of its own may be behind.
constexpr size_t kQueuedLines = 4096;

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
  if (!aOptions.neverBlock) {
    return std::make_shared<spdlog::logger>("sapphirewind", sink);
  }
  spdlog::init_thread_pool(kQueuedLines, 1);
  return std::make_shared<spdlog::async_logger>(
    "sapphirewind", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
}

/// Counts the lines of the current second.
struct LineLimit
{
  std::mutex lock;
  unsigned perSecond = 0;
  base::Instant secondStarted{};
  unsigned lines = 0;
  unsigned dropped = 0;
};

LineLimit&
TheLimit()
{
  static LineLimit limit;
  return limit;
}

/// Whether one more line may be written; aDropped tells how many were not in the second before.
bool
TakeLine(base::Instant aNow, unsigned& aDropped)
{
  LineLimit& limit = TheLimit();
  std::lock_guard guard(limit.lock);
  if (limit.perSecond == 0) {
    return true;
  }
  if (aNow - limit.secondStarted >= std::chrono::seconds(1)) {
    aDropped = limit.dropped;
    limit.secondStarted = aNow;
    limit.lines = 0;
    limit.dropped = 0;
  }
  bool mayWrite = limit.lines < limit.perSecond;
  ++(mayWrite ? limit.lines : limit.dropped);
  return mayWrite;
}

void
Write(const EventInfo& aInfo, std::initializer_list<Field> aFields)
{
  std::string line = fmt::format("E{:04d} {}", static_cast<int>(aInfo.event), aInfo.name);
  for (const Field& field : aFields) {
    line += fmt::format(" {}={}", field.name, field.value);
  }
  spdlog::default_logger_raw()->log(LibraryLevel(aInfo.level), line);
}

} // namespace

void
OpenLog(const LogOptions& aOptions)
{
  std::shared_ptr<spdlog::logger> logger = MakeLogger(aOptions);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %L " + aOptions.instance + " %v");
  logger->set_level(LibraryLevel(aOptions.lowest));
  if (!aOptions.neverBlock) {
    logger->flush_on(spdlog::level::info);
  }
  spdlog::set_default_logger(logger);
  TheLimit().perSecond = aOptions.linesPerSecond;
}

void
Log(Event aEvent, std::initializer_list<Field> aFields)
{
  const EventInfo& info = InfoOf(aEvent);
  spdlog::logger* logger = spdlog::default_logger_raw();
  if (!logger->should_log(LibraryLevel(info.level))) {
    return;
  }
  unsigned dropped = 0;
  bool mayWrite = TakeLine(base::Now(), dropped);
  if (dropped > 0) {
    Write(InfoOf(Event::LogLinesDropped), { { "lines", std::to_string(dropped) } });
  }
  if (mayWrite) {
    Write(info, aFields);
  }
}

void
FlushLog()
{
  spdlog::default_logger_raw()->flush();
}

} // namespace sapphirewind::telemetry
