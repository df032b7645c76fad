/// @file Numbered log events, one line of JSON each. docs/EVENTS.md is the catalogue; a test holds
/// it against this list.
#pragma once

#include <concepts>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::telemetry {

enum class Level
{
  Debug,
  Info,
  Warning,
  Error
};

/// The number of an event never changes meaning; a number that is no longer used is not given
/// again.
enum class Event
{
  Started = 100,
  Ready = 101,
  Stopping = 102,
  Drained = 103,
  Stopped = 104,
  StopForced = 105,
  CannotStart = 106,
  SettingsReloaded = 107,
  LogLinesDropped = 108,
  ClockJumped = 110,
  ConfigurationInForce = 200,
  ConfigurationRejected = 201,
  ObjectMalformed = 202,
  StoreLost = 210,
  StoreBack = 211,
  StoreHistoryGone = 212,
  RegistrationFailed = 213,
  InstancesCounted = 214,
  MirrorFailed = 215,
  MemberChanged = 300,
  RumourRefuted = 301,
  PeerMessageRefused = 302,
  PeerUnreachable = 303,
  CellOpened = 310,
  CellClosed = 311,
  ServerEjected = 400,
  ServerLeaving = 401,
  ServerLost = 402,
  AnswerDiscarded = 403,
  ServerShed = 404,
  ServerTakenIn = 405,
  RequestSuspect = 410,
  RequestCondemned = 411,
  RequestCleared = 412,
  SnapshotRestart = 420,
  SnapshotProven = 421,
  AttemptFailed = 430,
  RequestEnded = 431,
  CallerLeft = 432,
  RequestRejected = 433,
  BookingUnknown = 500,
  ClaimGivenUp = 501,
  ClaimWriteFailed = 502,
  AlertFiring = 600,
  AlertResolved = 601,
};

/// An event's fixed part.
struct EventInfo
{
  Event event;
  Level level;
  const char* name;
};

/// All events, in order of their number.
const std::vector<EventInfo>&
AllEvents();

struct LogOptions
{
  /// Prefixed to every line.
  std::string instance;
  /// Empty logs to standard error, "-" to standard output.
  std::string file;
  Level minLevel = Level::Info;
  /// Lines a second that are written; further ones are counted and dropped. Routine lines may take
  /// half of them, so that there is room for what went wrong. 0 writes all.
  unsigned linesPerSecond = 0;
  /// Write from a thread of its own; lines are dropped rather than waited for when it falls behind.
  bool async = false;
};

/// Sets logging up; call once, before threads start.
void
OpenLog(const LogOptions& aOptions);

/// A value as it stands in a line.
class FieldValue
{
public:
  FieldValue(const std::string& aText);
  FieldValue(const char* aText);
  FieldValue(const Json::Value& aValue);
  FieldValue(bool aValue)
    : json(aValue ? "true" : "false")
  {
  }
  template<std::integral Number>
  FieldValue(Number aNumber)
    : json(std::to_string(aNumber))
  {
  }

  const std::string& Json() const { return this->json; }

private:
  std::string json;
};

/// One name and value of an event.
struct Field
{
  const char* name;
  FieldValue value;
};

/// Logs an event as `{"time":...,"event":"E0401","name":"ServerLeaving","server":...}`.
void
Log(Event aEvent, std::initializer_list<Field> aFields);

/// The same for an event of ordinary work, which gives way first when lines are many.
void
LogRoutine(Event aEvent, std::initializer_list<Field> aFields);

/// Lines that were not written since the start.
uint64_t
DroppedLineCount();

/// Writes out what is buffered.
void
FlushLog();

} // namespace sapphirewind::telemetry
