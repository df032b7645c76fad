#include "ClaimModel.h"

#include <document/Document.h>
#include <functional>
#include <unordered_set>

namespace sapphirewind::test {

namespace {

constexpr size_t kMaxAttempts = 3;
constexpr size_t kMaxReportedViolations = 3;

enum class Phase
{
  Read,
  Write,
  Send,
  Settle,
  Release,
  Finished
};

/// The outcome reported to a caller.
enum class ReportedOutcome
{
  Pending,
  Ran,
  NotRun,
  Unknown
};

struct Caller
{
  Phase phase = Phase::Read;
  size_t attempts = 0;
  claims::Bucket readBucket;
  size_t readVersion = 0;
  bool sent = false;
  bool gotResponse = false;
  ReportedOutcome reported = ReportedOutcome::Pending;
};

struct State
{
  claims::Bucket bucket;
  claims::Bucket previous;
  size_t version = 0;
  size_t executions = 0;
  std::vector<Caller> callers;
};

std::string
Encode(const State& aState)
{
  std::string key = document::Serialize(claims::ToJson(aState.bucket)) + "|" +
                    document::Serialize(claims::ToJson(aState.previous)) + "|" +
                    std::to_string(aState.version) + "|" + std::to_string(aState.executions);
  for (const Caller& caller : aState.callers) {
    key += "|" + std::to_string(static_cast<int>(caller.phase)) + "," +
           std::to_string(caller.attempts) + "," +
           document::Serialize(claims::ToJson(caller.readBucket)) + "," +
           std::to_string(caller.readVersion) + "," + std::to_string(caller.sent) +
           std::to_string(caller.gotResponse) + std::to_string(static_cast<int>(caller.reported));
  }
  return key;
}

std::string
NonceOf(size_t aCaller)
{
  return "n" + std::to_string(aCaller);
}

claims::Operation
MakeOperation(claims::OperationKind aKind, size_t aCaller)
{
  return claims::Operation{ .kind = aKind, .key = "k", .nonce = NonceOf(aCaller), .holder = "h" };
}

/// Generates all successor states of one caller's next step.
class Transitions
{
public:
  Transitions(Mutation aMutation, std::function<void(const State&)> aOnState)
    : mutation(aMutation)
    , onState(std::move(aOnState))
  {
  }

  void Expand(const State& aState, size_t aCaller)
  {
    if (aState.callers[aCaller].phase != Phase::Finished) {
      this->Crash(aState, aCaller);
    }
    switch (aState.callers[aCaller].phase) {
      case Phase::Read:
        this->Read(aState, aCaller);
        break;
      case Phase::Write:
        this->Write(aState, aCaller);
        break;
      case Phase::Send:
        this->Send(aState, aCaller);
        break;
      case Phase::Settle:
        this->Settle(aState, aCaller);
        break;
      case Phase::Release:
        this->Release(aState, aCaller);
        break;
      case Phase::Finished:
        break;
    }
  }

private:
  void Crash(State aState, size_t aCaller)
  {
    aState.callers[aCaller].phase = Phase::Finished;
    this->onState(aState);
  }

  void Finish(State aState, size_t aCaller, ReportedOutcome aReported)
  {
    aState.callers[aCaller].phase = Phase::Finished;
    aState.callers[aCaller].reported = aReported;
    this->onState(aState);
  }

  void Read(State aState, size_t aCaller)
  {
    Caller& caller = aState.callers[aCaller];
    if (caller.attempts == kMaxAttempts) {
      this->Finish(aState, aCaller, ReportedOutcome::NotRun);
      return;
    }
    ++caller.attempts;
    caller.phase = Phase::Write;
    caller.readBucket = aState.bucket;
    caller.readVersion = aState.version;
    this->onState(aState);
    if (aState.version > 0) {
      caller.readBucket = aState.previous;
      caller.readVersion = aState.version - 1;
      this->onState(aState);
    }
  }

  void Write(State aState, size_t aCaller)
  {
    Caller& caller = aState.callers[aCaller];
    claims::Bucket next = caller.readBucket;
    if (this->mutation == Mutation::OverwriteForeignClaim) {
      next.claims.clear();
    }
    claims::OperationResult result =
      claims::Apply(next, MakeOperation(claims::OperationKind::Acquire, aCaller));
    if (result.verdict == claims::Verdict::Replay) {
      this->Finish(aState, aCaller, ReportedOutcome::Ran);
      return;
    }
    if (result.verdict != claims::Verdict::Granted) {
      this->Finish(aState, aCaller, ReportedOutcome::Unknown);
      return;
    }
    if (next == caller.readBucket) {
      caller.phase = Phase::Send;
      this->onState(aState);
      return;
    }
    bool versionMatches = caller.readVersion == aState.version;
    State notApplied = aState;
    notApplied.callers[aCaller].phase =
      this->mutation == Mutation::AssumeLostWriteSucceeded ? Phase::Send : Phase::Read;
    this->onState(notApplied);
    if (!versionMatches) {
      caller.phase = Phase::Read;
      this->onState(aState);
      return;
    }
    aState.previous = aState.bucket;
    aState.bucket = next;
    ++aState.version;
    caller.phase = Phase::Send;
    this->onState(aState);
    caller.phase = Phase::Read;
    this->onState(aState);
  }

  void Send(State aState, size_t aCaller)
  {
    Caller& caller = aState.callers[aCaller];
    State notSent = aState;
    notSent.callers[aCaller].phase = Phase::Release;
    this->onState(notSent);
    ++aState.executions;
    caller.sent = true;
    caller.phase = Phase::Settle;
    caller.gotResponse = true;
    this->onState(aState);
    caller.gotResponse = false;
    bool retries = this->mutation == Mutation::RetryAfterSend && aState.executions < 2;
    caller.phase = retries                                        ? Phase::Send
                   : this->mutation == Mutation::ReleaseAfterSend ? Phase::Release
                                                                  : Phase::Settle;
    this->onState(aState);
  }

  void ApplyToStore(State& aState, const claims::Operation& aOperation)
  {
    claims::Bucket next = aState.bucket;
    claims::Apply(next, aOperation);
    if (next != aState.bucket) {
      aState.previous = aState.bucket;
      aState.bucket = next;
      ++aState.version;
    }
  }

  void Settle(State aState, size_t aCaller)
  {
    bool gotResponse = aState.callers[aCaller].gotResponse;
    ReportedOutcome reported = gotResponse ? ReportedOutcome::Ran : ReportedOutcome::Unknown;
    this->Finish(aState, aCaller, reported); // The settle operation is lost.
    claims::Operation settle = MakeOperation(claims::OperationKind::Settle, aCaller);
    settle.outcome = gotResponse ? model::Outcome::Ran : model::Outcome::Unknown;
    this->ApplyToStore(aState, settle);
    this->Finish(aState, aCaller, reported);
  }

  void Release(State aState, size_t aCaller)
  {
    this->Finish(aState, aCaller, ReportedOutcome::NotRun);
    this->ApplyToStore(aState, MakeOperation(claims::OperationKind::Release, aCaller));
    this->Finish(aState, aCaller, ReportedOutcome::NotRun);
  }

  const Mutation mutation;
  std::function<void(const State&)> onState;
};

std::string
FindViolation(const State& aState)
{
  if (aState.executions > 1) {
    return "the request was executed " + std::to_string(aState.executions) + " times";
  }
  for (const Caller& caller : aState.callers) {
    if (caller.reported == ReportedOutcome::NotRun && caller.sent) {
      return "not_run was reported to a caller whose request was sent";
    }
    if (caller.reported == ReportedOutcome::Ran && aState.executions == 0) {
      return "ran was reported to a caller although the request was not executed";
    }
  }
  return {};
}

} // namespace

ModelResult
ExploreClaims(const ModelOptions& aOptions)
{
  ModelResult result;
  std::unordered_set<std::string> visited;
  std::vector<State> frontier;
  auto onState = [&](const State& aState) {
    if (!visited.insert(Encode(aState)).second) {
      return;
    }
    std::string violation = FindViolation(aState);
    if (!violation.empty()) {
      if (result.violations.size() < kMaxReportedViolations) {
        result.violations.push_back(violation);
      }
      return;
    }
    frontier.push_back(aState);
  };
  Transitions transitions(aOptions.mutation, onState);
  State initial;
  initial.callers.resize(aOptions.callers);
  onState(initial);
  while (!frontier.empty()) {
    State state = std::move(frontier.back());
    frontier.pop_back();
    for (size_t caller = 0; caller < state.callers.size(); ++caller) {
      transitions.Expand(state, caller);
    }
  }
  result.states = visited.size();
  return result;
}

} // namespace sapphirewind::test
