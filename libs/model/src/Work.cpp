#include <model/Work.h>

namespace sapphirewind::model {

namespace {

struct ErrorInfo
{
  Errc code;
  const char* text;
  int status;
  const char* description;
};

constexpr ErrorInfo kErrors[] = {
  { Errc::Malformed, "malformed", 400, "the request is malformed; see the field named" },
  { Errc::TooLarge, "too_large", 413, "the request is larger than the stated limit" },
  { Errc::UnknownClass, "unknown_class", 400, "the class is not in the configuration" },
  { Errc::MissingKey, "missing_key", 400, "a booking needs an Idempotency-Key header" },
  { Errc::KeyReused, "key_reused", 422, "the key was used before with another body" },
  { Errc::DeadlinePassed, "deadline_passed", 504, "the deadline passed" },
  { Errc::Overloaded, "overloaded", 429, "more work than the class is served; retry later" },
  { Errc::Suspect, "suspect", 403, "the request brought upstreams down and is not run for now" },
  { Errc::NoSnapshot, "no_snapshot", 503, "no snapshot of the index can be served" },
  { Errc::CoverageTooLow, "coverage_too_low", 503, "the answer covers less than the class states" },
  { Errc::UpstreamFailed, "upstream_failed", 502, "an upstream failed while it had the request" },
  { Errc::NoReplica, "no_replica", 503, "no upstream can serve a part of the request" },
  { Errc::Stopping, "stopping", 503, "the instance is stopping; ask another" },
  { Errc::NotReady, "not_ready", 503, "the instance has no configuration or index yet" },
  { Errc::StoreUnavailable, "store_unavailable", 503, "the platform's store cannot be reached" },
  { Errc::InDoubt, "in_doubt", 409, "an earlier request with this key may have run" },
  { Errc::ClaimsFull, "claims_full", 503, "too many keys are remembered; retry later" },
};

const ErrorInfo&
FindError(Errc aError)
{
  for (const ErrorInfo& entry : kErrors) {
    if (entry.code == aError) {
      return entry;
    }
  }
  return kErrors[0];
}

const char*
DescribeErrc(Errc aError)
{
  return FindError(aError).description;
}

} // namespace

const char*
ToText(Rank aRank)
{
  switch (aRank) {
    case Rank::Urgent:
      return "urgent";
    case Rank::Everyday:
      return "everyday";
    case Rank::Deferrable:
      return "deferrable";
  }
  return "";
}

std::optional<Rank>
RankFromText(std::string_view aText)
{
  for (Rank rank : kRanks) {
    if (aText == ToText(rank)) {
      return rank;
    }
  }
  return std::nullopt;
}

const char*
ToText(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "";
}

std::optional<Outcome>
OutcomeFromText(std::string_view aText)
{
  for (Outcome outcome : { Outcome::Ran, Outcome::NotRun, Outcome::Unknown }) {
    if (aText == ToText(outcome)) {
      return outcome;
    }
  }
  return std::nullopt;
}

Outcome
Combine(Outcome aLeft, Outcome aRight)
{
  if (aLeft == aRight) {
    return aLeft;
  }
  bool anyRan = aLeft == Outcome::Ran || aRight == Outcome::Ran;
  return anyRan ? Outcome::Ran : Outcome::Unknown;
}

std::error_code
make_error_code(Errc aError)
{
  static const base::EnumCategory<Errc> kCategory("request", &DescribeErrc);
  return { static_cast<int>(aError), kCategory };
}

const char*
ToText(Errc aError)
{
  return FindError(aError).text;
}

std::optional<Errc>
ErrcFromText(std::string_view aText)
{
  for (const ErrorInfo& entry : kErrors) {
    if (aText == entry.text) {
      return entry.code;
    }
  }
  return std::nullopt;
}

int
HttpStatus(Errc aError)
{
  return FindError(aError).status;
}

} // namespace sapphirewind::model
