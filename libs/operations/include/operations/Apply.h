/// @file Changing the configuration, with its audit trail, by conditional writes alone.
///
/// The trail's newest entries stand in the configuration object itself, so that a change and its
/// entry are one write: neither can be without the other. Older entries move to pages. Tries that
/// lost a race are entered in an object of their own.
#pragma once

#include <base/Result.h>
#include <base/Time.h>
#include <cstdint>
#include <document/Document.h>
#include <functional>
#include <optional>
#include <platform/Store.h>
#include <string>
#include <vector>

namespace sapphirewind::operations {

enum class Errc
{
  Invalid = 1, ///< The configuration has problems; nothing was written.
  Conflict,    ///< Another operator's change won.
  StoreFailed, ///< The platform's store could not be asked; nothing is known to have been written.
  OutcomeUnknown ///< The write's fate could not be learnt in time.
};

std::error_code
make_error_code(Errc aError);

enum class AuditOutcome
{
  Accepted,
  Conflict
};

/// One entry of the audit trail.
struct AuditEntry
{
  uint64_t generation = 0; ///< The generation it made, or for a conflict the one that won.
  uint64_t fromGeneration = 0;
  std::string author;
  int64_t atMillis = 0;
  std::string nonce;
  AuditOutcome outcome = AuditOutcome::Accepted;
  std::vector<std::string> changes;

  bool operator==(const AuditEntry&) const = default;
};

/// The configuration object.
struct StoredConfiguration
{
  std::string text;
  std::string author;
  std::string nonce;
  std::vector<AuditEntry> trail;
  uint64_t pages = 0;
};

struct ApplyOptions
{
  std::string author;
  /// Identifies this try; an answer that was lost is settled by finding it in the store.
  std::string nonce;
  /// The generation the operator means to change; empty takes the one that stands.
  std::optional<uint64_t> expectedGeneration;
  int64_t nowMillis = 0;
  size_t maxAttempts = 20;
  /// Called between tries.
  std::function<void()> backoff = [] {};
};

struct ApplyResult
{
  uint64_t generation = 0;
  std::vector<std::string> changes;
};

/// Checks a configuration and makes it the current one. On Invalid aProblems has every problem; on
/// Conflict aWinner names who won and with which generation.
base::Result<ApplyResult>
ApplyConfiguration(platform::Store& aStore,
                   const std::string& aText,
                   const ApplyOptions& aOptions,
                   document::Problems& aProblems,
                   AuditEntry& aWinner);

/// The current configuration; generation 0 when there is none.
struct CurrentConfiguration
{
  uint64_t generation = 0;
  StoredConfiguration stored;
};

base::Result<CurrentConfiguration>
ReadCurrentConfiguration(platform::Store& aStore);

/// The whole audit trail, oldest first, with lost races in their place by time.
base::Result<std::vector<AuditEntry>>
ReadAudit(platform::Store& aStore);

Json::Value
ToJson(const AuditEntry& aEntry);

} // namespace sapphirewind::operations

template<>
struct std::is_error_code_enum<sapphirewind::operations::Errc> : std::true_type
{
};
