#include "ClaimModel.h"

#include <document/Document.h>
#include <functional>
#include <unordered_set>

namespace sapphirewind::test {

namespace {

constexpr size_t kMostTries = 3;
constexpr size_t kMostViolations = 3;

enum class At
{
  Read,
  Write,
  Send,
  Settle,
  GiveUp,
  Ended
};

/// What a caller was told.
enum class Told
{
  Nothing,
  Ran,
  NotRun,
  Unknown
};

struct Caller
{
  At at = At::Read;
  size_t tries = 0;
  claims::Bucket seen;
  size_t seenVersion = 0;
  bool sent = false;
  bool gotAnswer = false;
  Told told = Told::Nothing;
};

struct State
{
  claims::Bucket bucket;
  claims::Bucket previous;
  size_t version = 0;
  size_t runs = 0;
  std::vector<Caller> callers;
};

std::string
Encode(const State& aState)
{
  std::string key = document::Serialize(claims::ToJson(aState.bucket)) + "|" +
                    document::Serialize(claims::ToJson(aState.previous)) + "|" +
                    std::to_string(aState.version) + "|" + std::to_string(aState.runs);
  for (const Caller& caller : aState.callers) {
    key += "|" + std::to_string(static_cast<int>(caller.at)) + "," + std::to_string(caller.tries) +
           "," + document::Serialize(claims::ToJson(caller.seen)) + "," +
           std::to_string(caller.seenVersion) + "," + std::to_string(caller.sent) +
           std::to_string(caller.gotAnswer) + std::to_string(static_cast<int>(caller.told));
  }
  return key;
}

std::string
NonceOf(size_t aCaller)
{
  return "n" + std::to_string(aCaller);
}

claims::Operation
Make(claims::OperationKind aKind, size_t aCaller)
{
  return claims::Operation{ .kind = aKind, .key = "k", .nonce = NonceOf(aCaller), .holder = "h" };
}

/// Every state that may follow when one caller takes its next step.
class Steps
{
public:
  Steps(Mutation aMutation, std::function<void(const State&)> aEmit)
    : mutation(aMutation)
    , emit(std::move(aEmit))
  {
  }

  void Of(const State& aState, size_t aCaller)
  {
    if (aState.callers[aCaller].at != At::Ended) {
      this->Die(aState, aCaller);
    }
    switch (aState.callers[aCaller].at) {
      case At::Read:
        this->Read(aState, aCaller);
        break;
      case At::Write:
        this->Write(aState, aCaller);
        break;
      case At::Send:
        this->Send(aState, aCaller);
        break;
      case At::Settle:
        this->Settle(aState, aCaller);
        break;
      case At::GiveUp:
        this->GiveUp(aState, aCaller);
        break;
      case At::Ended:
        break;
    }
  }

private:
  void Die(State aState, size_t aCaller)
  {
    aState.callers[aCaller].at = At::Ended;
    this->emit(aState);
  }

  void End(State aState, size_t aCaller, Told aTold)
  {
    aState.callers[aCaller].at = At::Ended;
    aState.callers[aCaller].told = aTold;
    this->emit(aState);
  }

  void Read(State aState, size_t aCaller)
  {
    Caller& caller = aState.callers[aCaller];
    if (caller.tries == kMostTries) {
      this->End(aState, aCaller, Told::NotRun);
      return;
    }
    ++caller.tries;
    caller.at = At::Write;
    caller.seen = aState.bucket;
    caller.seenVersion = aState.version;
    this->emit(aState);
    if (aState.version > 0) {
      caller.seen = aState.previous;
      caller.seenVersion = aState.version - 1;
      this->emit(aState);
    }
  }

  void Write(State aState, size_t aCaller)
  {
    Caller& caller = aState.callers[aCaller];
    claims::Bucket next = caller.seen;
    if (this->mutation == Mutation::TakeOverStale) {
      next.claims.clear();
    }
    claims::OperationResult result =
      claims::Apply(next, Make(claims::OperationKind::Acquire, aCaller));
    if (result.verdict == claims::Verdict::Replay) {
      this->End(aState, aCaller, Told::Ran);
      return;
    }
    if (result.verdict != claims::Verdict::Granted) {
      this->End(aState, aCaller, Told::Unknown);
      return;
    }
    if (next == caller.seen) {
      caller.at = At::Send;
      this->emit(aState);
      return;
    }
    bool matches = caller.seenVersion == aState.version;
    State lostWithoutEffect = aState;
    lostWithoutEffect.callers[aCaller].at =
      this->mutation == Mutation::TrustLostWrite ? At::Send : At::Read;
    this->emit(lostWithoutEffect);
    if (!matches) {
      caller.at = At::Read;
      this->emit(aState);
      return;
    }
    aState.previous = aState.bucket;
    aState.bucket = next;
    ++aState.version;
    caller.at = At::Send;
    this->emit(aState);
    caller.at = At::Read;
    this->emit(aState);
  }

  void Send(State aState, size_t aCaller)
  {
    Caller& caller = aState.callers[aCaller];
    State notSent = aState;
    notSent.callers[aCaller].at = At::GiveUp;
    this->emit(notSent);
    ++aState.runs;
    caller.sent = true;
    caller.at = At::Settle;
    caller.gotAnswer = true;
    this->emit(aState);
    caller.gotAnswer = false;
    bool again = this->mutation == Mutation::RetryAfterSend && aState.runs < 2;
    caller.at = again                                         ? At::Send
                : this->mutation == Mutation::GiveUpAfterSend ? At::GiveUp
                                                              : At::Settle;
    this->emit(aState);
  }

  void Change(State& aState, const claims::Operation& aOperation)
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
    bool answered = aState.callers[aCaller].gotAnswer;
    Told told = answered ? Told::Ran : Told::Unknown;
    this->End(aState, aCaller, told); // The record was lost.
    claims::Operation settle = Make(claims::OperationKind::Settle, aCaller);
    settle.outcome = answered ? model::Outcome::Ran : model::Outcome::Unknown;
    this->Change(aState, settle);
    this->End(aState, aCaller, told);
  }

  void GiveUp(State aState, size_t aCaller)
  {
    this->End(aState, aCaller, Told::NotRun);
    this->Change(aState, Make(claims::OperationKind::Release, aCaller));
    this->End(aState, aCaller, Told::NotRun);
  }

  const Mutation mutation;
  std::function<void(const State&)> emit;
};

std::string
ViolationIn(const State& aState)
{
  if (aState.runs > 1) {
    return "the request ran " + std::to_string(aState.runs) + " times";
  }
  for (const Caller& caller : aState.callers) {
    if (caller.told == Told::NotRun && caller.sent) {
      return "a caller was told not_run although its request was sent";
    }
    if (caller.told == Told::Ran && aState.runs == 0) {
      return "a caller was told ran although nothing ran";
    }
  }
  return {};
}

} // namespace

ModelResult
ExploreClaims(const ModelOptions& aOptions)
{
  ModelResult result;
  std::unordered_set<std::string> known;
  std::vector<State> open;
  auto emit = [&](const State& aState) {
    if (!known.insert(Encode(aState)).second) {
      return;
    }
    std::string violation = ViolationIn(aState);
    if (!violation.empty()) {
      if (result.violations.size() < kMostViolations) {
        result.violations.push_back(violation);
      }
      return;
    }
    open.push_back(aState);
  };
  Steps steps(aOptions.mutation, emit);
  State start;
  start.callers.resize(aOptions.callers);
  emit(start);
  while (!open.empty()) {
    State state = std::move(open.back());
    open.pop_back();
    for (size_t caller = 0; caller < state.callers.size(); ++caller) {
      steps.Of(state, caller);
    }
  }
  result.states = known.size();
  return result;
}

} // namespace sapphirewind::test
