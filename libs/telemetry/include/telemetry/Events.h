/// @file Numbered log events, each written as one line of JSON. docs/EVENTS.md documents them; a
/// test compares it with the list here.
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

/// Event numbers are stable: a number never changes its meaning, and the number of a removed event
/// is not reused.
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
  LoopStalled = 111,
  ConfigurationInForce = 200,
  ConfigurationRejected = 201,
  ObjectMalformed = 202,
  StoreLost = 210,
  StoreBack = 211,
  StoreHistoryGone = 212,
  RegistrationFailed = 213,
  InstancesCounted = 214,
  MirrorFailed = 215,
  StoreCallFailed = 216,
  StoreReturnedOlder = 217,
  StoreEraUnusable = 218,
  ServersAfterReturn = 219,
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
  ServerLimited = 406,
  ServerLimitEnded = 407,
  ServerEntryKept = 408,
  ServerEntryExpired = 409,
  RequestSuspect = 410,
  RequestCondemned = 411,
  RequestCleared = 412,
  ServerHeaderMalformed = 414,
  ServerHeld = 415,
  QuarantineLearned = 416,
  QuarantineNotLearned = 417,
  ServerEntryUnconfirmed = 418,
  ServerEntryConfirmed = 419,
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

/// The properties that all occurrences of an event share.
struct EventInfo
{
  Event event;
  Level level;
  const char* name;
};

/// All events, in ascending order of their numbers.
const std::vector<EventInfo>&
AllEvents();

struct LogOptions
{
  /// The name of the instance, written into every line.
  std::string instance;
  /// The path of the log file. Empty: standard error; "-": standard output.
  std::string file;
  Level minLevel = Level::Info;
  /// The maximum number of lines per second; excess lines are counted and dropped. Routine lines
  /// may use at most half of it, so that failures can still be logged. 0 disables the limit.
  unsigned linesPerSecond = 0;
  /// Writes from a background thread. If its queue is full, the oldest queued line is dropped, so
  /// that logging never blocks the calling thread.
  bool async = false;
};

/// Initialises logging. Must be called once, before other threads start.
void
OpenLog(const LogOptions& aOptions);

/// The value of a log field, encoded as JSON.
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

/// A named field of a log line.
struct Field
{
  const char* name;
  FieldValue value;
};

/// Logs an event as `{"time":...,"event":"E0401","name":"ServerLeaving","server":...}`.
void
Log(Event aEvent, std::initializer_list<Field> aFields);

/// Logs an event of normal operation. Its lines are the first to be dropped under the line limit.
void
LogRoutine(Event aEvent, std::initializer_list<Field> aFields);

/// The number of lines dropped since process start.
uint64_t
DroppedLineCount();

/// Flushes buffered lines.
void
FlushLog();

} // namespace sapphirewind::telemetry
