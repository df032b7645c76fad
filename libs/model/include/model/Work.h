/// @file What kinds of work there are and how a request can end.
#pragma once

#include <array>
#include <base/ErrorCategory.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirewind::model {

/// How soon work is served against other work.
enum class Rank : uint8_t
{
  Urgent,
  Everyday,
  Deferrable
};

constexpr std::array<Rank, 3> kRanks = { Rank::Urgent, Rank::Everyday, Rank::Deferrable };

const char*
ToText(Rank aRank);

std::optional<Rank>
RankFromText(std::string_view aText);

/// What is known of a request's execution. There is no fourth answer.
enum class Outcome : uint8_t
{
  Ran,    ///< It ran.
  NotRun, ///< No upstream ran it, and none will.
  Unknown ///< It may have run or may yet run.
};

const char*
ToText(Outcome aOutcome);

std::optional<Outcome>
OutcomeFromText(std::string_view aText);

/// The outcome of a whole made of parts that ended separately.
Outcome
Combine(Outcome aLeft, Outcome aRight);

/// What a caller is told when a request fails. The text of each is part of the API.
enum class Errc
{
  Malformed = 1,
  TooLarge,
  UnknownClass,
  MissingKey,
  KeyReused,
  DeadlinePassed,
  Overloaded,
  Suspect,
  NoSnapshot,
  CoverageTooLow,
  UpstreamFailed,
  NoReplica,
  Stopping,
  NotReady,
  StoreUnavailable,
  InDoubt,
  ClaimsFull,
};

std::error_code
make_error_code(Errc aError);

/// The short name used in messages, such as "deadline_passed".
const char*
ToText(Errc aError);

std::optional<Errc>
ErrcFromText(std::string_view aText);

/// The HTTP status a caller sees for an error.
int
HttpStatus(Errc aError);

/// Bound to messages between instances; a message of another version is refused.
constexpr int kPeerProtocolVersion = 1;

} // namespace sapphirewind::model

template<>
struct std::is_error_code_enum<sapphirewind::model::Errc> : std::true_type
{
};
