/// @file Changes the configuration and its audit trail, using only conditional writes.
///
/// The newest entries of the audit trail are part of the configuration object, so that a change and
/// its entry are committed by one atomic write. Older entries move to page objects. Changes
/// rejected because of a concurrent change are recorded in a separate object.
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
  Invalid = 1,   ///< The configuration is invalid; nothing was written.
  Conflict,      ///< A concurrent change by another operator was written first.
  StoreFailed,   ///< The platform's store was unavailable; the configuration was not written.
  OutcomeUnknown ///< A write may have taken effect; its outcome could not be determined.
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
  /// The generation that the change created, or the current one for a conflict.
  uint64_t generation = 0;
  /// The generation that the change is based on.
  uint64_t fromGeneration = 0;
  std::string author;
  int64_t atMillis = 0;
  std::string nonce;
  AuditOutcome outcome = AuditOutcome::Accepted;
  std::vector<std::string> changes;

  bool operator==(const AuditEntry&) const = default;
};

/// The configuration object in the store.
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
  /// Identifies this change. After a lost response, the entry with this nonce in the store shows
  /// that the write took effect.
  std::string nonce;
  /// The generation that the change is based on; the current one if empty.
  std::optional<uint64_t> expectedGeneration;
  int64_t nowMillis = 0;
  size_t maxAttempts = 20;
  /// Called between attempts.
  std::function<void()> backoff = [] {};
};

struct ApplyResult
{
  uint64_t generation = 0;
  std::vector<std::string> changes;
};

/// Validates a configuration and makes it the current one. On Invalid, aProblems holds all
/// problems; on Conflict, aWinningEntry is the audit entry of the change that was written first.
base::Result<ApplyResult>
ApplyConfiguration(platform::Store& aStore,
                   const std::string& aText,
                   const ApplyOptions& aOptions,
                   document::Problems& aProblems,
                   AuditEntry& aWinningEntry);

/// The current configuration; generation 0 if there is none.
struct CurrentConfiguration
{
  uint64_t generation = 0;
  StoredConfiguration stored;
};

base::Result<CurrentConfiguration>
ReadCurrentConfiguration(platform::Store& aStore);

/// The complete audit trail, including conflicts, in order of time.
base::Result<std::vector<AuditEntry>>
ReadAudit(platform::Store& aStore);

Json::Value
ToJson(const AuditEntry& aEntry);

} // namespace sapphirewind::operations

template<>
struct std::is_error_code_enum<sapphirewind::operations::Errc> : std::true_type
{
};
