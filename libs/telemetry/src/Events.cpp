#include <telemetry/Events.h>

#include <algorithm>
#include <cassert>
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

} // namespace

const std::vector<EventInfo>&
AllEvents()
{
  static const std::vector<EventInfo> kEvents = {
    { Event::Started, Level::Info, "Started" },
    { Event::Ready, Level::Info, "Ready" },
    { Event::Stopping, Level::Info, "Stopping" },
    { Event::Drained, Level::Info, "Drained" },
    { Event::Stopped, Level::Info, "Stopped" },
    { Event::StopForced, Level::Error, "StopForced" },
    { Event::CannotStart, Level::Error, "CannotStart" },
    { Event::ClockJumped, Level::Warning, "ClockJumped" },
    { Event::ConfigurationInForce, Level::Info, "ConfigurationInForce" },
    { Event::ConfigurationRejected, Level::Error, "ConfigurationRejected" },
    { Event::ObjectMalformed, Level::Error, "ObjectMalformed" },
    { Event::StoreLost, Level::Warning, "StoreLost" },
    { Event::StoreBack, Level::Info, "StoreBack" },
    { Event::MemberChanged, Level::Info, "MemberChanged" },
    { Event::RumourRefuted, Level::Info, "RumourRefuted" },
    { Event::PeerMessageRefused, Level::Warning, "PeerMessageRefused" },
    { Event::PeerUnreachable, Level::Warning, "PeerUnreachable" },
    { Event::CellOpened, Level::Debug, "CellOpened" },
    { Event::CellClosed, Level::Debug, "CellClosed" },
    { Event::ServerEjected, Level::Warning, "ServerEjected" },
    { Event::ServerLeaving, Level::Info, "ServerLeaving" },
    { Event::ServerLost, Level::Warning, "ServerLost" },
    { Event::AnswerDiscarded, Level::Warning, "AnswerDiscarded" },
    { Event::ServerShed, Level::Debug, "ServerShed" },
    { Event::RequestSuspect, Level::Warning, "RequestSuspect" },
    { Event::RequestCondemned, Level::Error, "RequestCondemned" },
    { Event::RequestCleared, Level::Info, "RequestCleared" },
    { Event::SnapshotRestart, Level::Info, "SnapshotRestart" },
    { Event::SnapshotProven, Level::Info, "SnapshotProven" },
    { Event::BookingUnknown, Level::Warning, "BookingUnknown" },
    { Event::ClaimGivenUp, Level::Info, "ClaimGivenUp" },
    { Event::ClaimWriteFailed, Level::Warning, "ClaimWriteFailed" },
    { Event::AlertFiring, Level::Warning, "AlertFiring" },
    { Event::AlertResolved, Level::Info, "AlertResolved" },
  };
  return kEvents;
}

void
OpenLog(const LogOptions& aOptions)
{
  std::shared_ptr<spdlog::sinks::sink> sink;
  if (aOptions.file.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(aOptions.file);
  }
  auto logger = std::make_shared<spdlog::logger>("sapphirewind", sink);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %L " + aOptions.instance + " %v");
  logger->set_level(LibraryLevel(aOptions.lowest));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void
Log(Event aEvent, std::initializer_list<Field> aFields)
{
  const EventInfo& info = InfoOf(aEvent);
  spdlog::logger* logger = spdlog::default_logger_raw();
  if (!logger->should_log(LibraryLevel(info.level))) {
    return;
  }
  std::string line = fmt::format("E{:04d} {}", static_cast<int>(aEvent), info.name);
  for (const Field& field : aFields) {
    line += fmt::format(" {}={}", field.name, field.value);
  }
  logger->log(LibraryLevel(info.level), line);
}

void
FlushLog()
{
  spdlog::default_logger_raw()->flush();
}

} // namespace sapphirewind::telemetry
