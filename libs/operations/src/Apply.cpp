#include <operations/Apply.h>

#include <algorithm>
#include <base/ErrorCategory.h>
#include <config/Configuration.h>
#include <model/FieldReader.h>

namespace sapphirewind::operations {

namespace {

/// The number of audit entries in a page. The configuration object holds at most twice as many.
constexpr size_t kEntriesPerPage = 50;
constexpr const char* kAuditPagePrefix = "audit/page-";
constexpr const char* kAuditConflicts = "audit/conflicts";

const char*
DescribeErrc(Errc aError)
{
  switch (aError) {
    case Errc::Invalid:
      return "the configuration is invalid";
    case Errc::Conflict:
      return "conflict with a change by another operator";
    case Errc::StoreFailed:
      return "the platform's store did not respond; this attempt changed nothing";
    case Errc::OutcomeUnknown:
      return "the outcome of the change is unknown; check `audit` before retrying";
  }
  return "unknown operations error";
}

std::optional<AuditEntry>
EntryFromJson(const Json::Value& aValue)
{
  model::FieldReader fields(aValue);
  std::string outcome = fields.String("outcome");
  AuditEntry entry{ .generation = static_cast<uint64_t>(fields.Integer("generation")),
                    .fromGeneration = static_cast<uint64_t>(fields.Integer("from")),
                    .author = fields.String("author"),
                    .atMillis = fields.Integer("at"),
                    .nonce = fields.String("nonce"),
                    .outcome =
                      outcome == "conflict" ? AuditOutcome::Conflict : AuditOutcome::Accepted,
                    .changes = fields.Strings("changes") };
  return fields.Ok() ? std::optional(entry) : std::nullopt;
}

Json::Value
EntriesToJson(const std::vector<AuditEntry>& aEntries)
{
  Json::Value list(Json::arrayValue);
  for (const AuditEntry& entry : aEntries) {
    list.append(ToJson(entry));
  }
  return list;
}

std::vector<AuditEntry>
EntriesFromJson(const Json::Value& aList)
{
  std::vector<AuditEntry> entries;
  for (const Json::Value& value : aList) {
    if (std::optional<AuditEntry> entry = EntryFromJson(value)) {
      entries.push_back(std::move(*entry));
    }
  }
  return entries;
}

Json::Value
ToJson(const StoredConfiguration& aStored)
{
  Json::Value value;
  value["text"] = aStored.text;
  value["author"] = aStored.author;
  value["nonce"] = aStored.nonce;
  value["pages"] = static_cast<Json::UInt64>(aStored.pages);
  value["trail"] = EntriesToJson(aStored.trail);
  return value;
}

StoredConfiguration
StoredConfigurationFromJson(const Json::Value& aValue)
{
  StoredConfiguration stored;
  stored.text = aValue["text"].asString();
  stored.author = aValue["author"].asString();
  stored.nonce = aValue["nonce"].asString();
  stored.pages = aValue["pages"].asUInt64();
  stored.trail = EntriesFromJson(aValue["trail"]);
  return stored;
}

const AuditEntry*
FindByNonce(const std::vector<AuditEntry>& aTrail, const std::string& aNonce)
{
  auto found = std::find_if(
    aTrail.begin(), aTrail.end(), [&](const AuditEntry& aEntry) { return aEntry.nonce == aNonce; });
  return found == aTrail.end() ? nullptr : &*found;
}

std::string
PageName(uint64_t aPage)
{
  return kAuditPagePrefix + std::to_string(aPage);
}

/// Moves the oldest kEntriesPerPage entries to a new page once the trail holds twice as many. The
/// page is written before the entries are removed from the configuration object, so that no entry
/// is ever missing. An entry may exist in both; readers remove duplicates by nonce. False if the
/// page could not be written.
bool
MoveOldEntriesToPage(platform::Store& aStore, StoredConfiguration& aStored)
{
  if (aStored.trail.size() < 2 * kEntriesPerPage) {
    return true;
  }
  auto middle = aStored.trail.begin() + kEntriesPerPage;
  std::vector<AuditEntry> older(aStored.trail.begin(), middle);
  base::Result<uint64_t> written =
    aStore.Write(PageName(aStored.pages), EntriesToJson(older), platform::kAbsent);
  if (!written && written.Error().code != platform::Errc::Conflict) {
    return false;
  }
  aStored.trail.erase(aStored.trail.begin(), middle);
  ++aStored.pages;
  return true;
}

void
RecordConflict(platform::Store& aStore, const AuditEntry& aEntry, const ApplyOptions& aOptions)
{
  for (size_t attempt = 0; attempt < aOptions.maxAttempts; ++attempt) {
    base::Result<platform::VersionedValue> read = aStore.Read(kAuditConflicts);
    bool absent = !read && read.Error().code == platform::Errc::NotFound;
    if (!read && !absent) {
      aOptions.backoff();
      continue;
    }
    std::vector<AuditEntry> entries =
      absent ? std::vector<AuditEntry>() : EntriesFromJson(read->value);
    if (FindByNonce(entries, aEntry.nonce)) {
      return;
    }
    entries.push_back(aEntry);
    uint64_t version = absent ? platform::kAbsent : read->version;
    if (aStore.Write(kAuditConflicts, EntriesToJson(entries), version)) {
      return;
    }
    aOptions.backoff();
  }
}

std::vector<std::string>
ChangesBetween(const std::string& aBefore, const config::Configuration& aAfter)
{
  document::Problems ignored;
  std::optional<config::Configuration> before = config::ParseConfiguration(aBefore, ignored);
  return config::DescribeChanges(before.value_or(config::Configuration()), aAfter);
}

} // namespace

std::error_code
make_error_code(Errc aError)
{
  static const base::EnumCategory<Errc> kCategory("operations", &DescribeErrc);
  return { static_cast<int>(aError), kCategory };
}

Json::Value
ToJson(const AuditEntry& aEntry)
{
  Json::Value value;
  value["generation"] = static_cast<Json::Int64>(aEntry.generation);
  value["from"] = static_cast<Json::Int64>(aEntry.fromGeneration);
  value["author"] = aEntry.author;
  value["at"] = static_cast<Json::Int64>(aEntry.atMillis);
  value["nonce"] = aEntry.nonce;
  value["outcome"] = aEntry.outcome == AuditOutcome::Conflict ? "conflict" : "accepted";
  value["changes"] = model::StringsToJson(aEntry.changes);
  return value;
}

base::Result<CurrentConfiguration>
ReadCurrentConfiguration(platform::Store& aStore)
{
  base::Result<platform::VersionedValue> read = aStore.Read(platform::kConfigurationObject);
  if (!read && read.Error().code == platform::Errc::NotFound) {
    return CurrentConfiguration{};
  }
  if (!read) {
    return base::Failure{ .code = Errc::StoreFailed, .detail = read.Error().detail };
  }
  return CurrentConfiguration{ .generation = read->version,
                               .stored = StoredConfigurationFromJson(read->value) };
}

base::Result<ApplyResult>
ApplyConfiguration(platform::Store& aStore,
                   const std::string& aText,
                   const ApplyOptions& aOptions,
                   document::Problems& aProblems,
                   AuditEntry& aWinningEntry)
{
  std::optional<config::Configuration> parsed = config::ParseConfiguration(aText, aProblems);
  if (!parsed) {
    return base::Failure{ .code = Errc::Invalid, .detail = "" };
  }
  std::optional<uint64_t> baseGeneration = aOptions.expectedGeneration;
  bool mayHaveWritten = false;
  for (size_t attempt = 0; attempt < aOptions.maxAttempts; ++attempt) {
    base::Result<CurrentConfiguration> current = ReadCurrentConfiguration(aStore);
    if (!current) {
      aOptions.backoff();
      continue;
    }
    StoredConfiguration& stored = current->stored;
    if (const AuditEntry* ownEntry = FindByNonce(stored.trail, aOptions.nonce)) {
      return ApplyResult{ .generation = ownEntry->generation, .changes = ownEntry->changes };
    }
    baseGeneration = baseGeneration.value_or(current->generation);
    AuditEntry entry{ .generation = current->generation + 1,
                      .fromGeneration = *baseGeneration,
                      .author = aOptions.author,
                      .atMillis = aOptions.nowMillis,
                      .nonce = aOptions.nonce,
                      .outcome = AuditOutcome::Accepted,
                      .changes = ChangesBetween(stored.text, *parsed) };
    // Only a higher generation is a conflict: a stale read may return a lower generation than the
    // expected one, and its conditional write fails, so that the loop reads again.
    if (current->generation > *baseGeneration) {
      aWinningEntry = stored.trail.empty() ? AuditEntry() : stored.trail.back();
      entry.outcome = AuditOutcome::Conflict;
      entry.generation = current->generation;
      RecordConflict(aStore, entry, aOptions);
      return base::Failure{ .code = Errc::Conflict,
                            .detail = "generation " + std::to_string(current->generation) + " by " +
                                      aWinningEntry.author + " was written first" };
    }
    if (!MoveOldEntriesToPage(aStore, stored)) {
      aOptions.backoff();
      continue;
    }
    stored.text = aText;
    stored.author = aOptions.author;
    stored.nonce = aOptions.nonce;
    stored.trail.push_back(entry);
    base::Result<uint64_t> written =
      aStore.Write(platform::kConfigurationObject, ToJson(stored), current->generation);
    if (written) {
      return ApplyResult{ .generation = *written, .changes = entry.changes };
    }
    mayHaveWritten = mayHaveWritten || written.Error().code != platform::Errc::Conflict;
    aOptions.backoff();
  }
  return base::Failure{ .code = mayHaveWritten ? Errc::OutcomeUnknown : Errc::StoreFailed,
                        .detail = "" };
}

base::Result<std::vector<AuditEntry>>
ReadAudit(platform::Store& aStore)
{
  base::Result<CurrentConfiguration> current = ReadCurrentConfiguration(aStore);
  if (!current) {
    return current.Error();
  }
  std::vector<AuditEntry> all;
  auto append = [&](const std::vector<AuditEntry>& aEntries) {
    for (const AuditEntry& entry : aEntries) {
      if (!FindByNonce(all, entry.nonce)) {
        all.push_back(entry);
      }
    }
  };
  std::vector<std::string> pages;
  for (uint64_t page = 0; page < current->stored.pages; ++page) {
    pages.push_back(PageName(page));
  }
  pages.push_back(kAuditConflicts);
  for (const std::string& page : pages) {
    base::Result<platform::VersionedValue> read = aStore.Read(page);
    if (read) {
      append(EntriesFromJson(read->value));
    } else if (read.Error().code != platform::Errc::NotFound) {
      return base::Failure{ .code = Errc::StoreFailed, .detail = read.Error().detail };
    }
  }
  append(current->stored.trail);
  std::stable_sort(all.begin(), all.end(), [](const AuditEntry& aLeft, const AuditEntry& aRight) {
    return aLeft.atMillis < aRight.atMillis;
  });
  return all;
}

} // namespace sapphirewind::operations
