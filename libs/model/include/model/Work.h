/// @file Priority ranks, request outcomes and errors.
#pragma once

#include <array>
#include <base/ErrorCategory.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirewind::model {

/// The priority of a request, highest first.
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

/// What is known about the execution of a request. Every request ends with one of these.
enum class Outcome : uint8_t
{
  Ran,    ///< The request was executed.
  NotRun, ///< No upstream has executed the request, and none will.
  Unknown ///< The request may have been executed or may still be executed.
};

const char*
ToText(Outcome aOutcome);

std::optional<Outcome>
OutcomeFromText(std::string_view aText);

/// Combines the outcomes of two parts of one request.
Outcome
Combine(Outcome aLeft, Outcome aRight);

/// The error reported to a caller when a request fails. The texts are part of the API.
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

/// The HTTP status for an error.
int
HttpStatus(Errc aError);

/// The version of the messages between instances; messages of other versions are refused.
constexpr int kPeerProtocolVersion = 1;

} // namespace sapphirewind::model

template<>
struct std::is_error_code_enum<sapphirewind::model::Errc> : std::true_type
{
};
