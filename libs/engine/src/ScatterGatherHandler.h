/// @file Serves a query: requests a part from each shard, merges the parts and reports the
/// coverage.
#pragma once

#include "RequestHandlerBase.h"

#include <dispatch/Gather.h>

namespace sapphirewind::engine {

class ScatterGatherHandler final
  : public RequestHandlerBase
  , public std::enable_shared_from_this<ScatterGatherHandler>
{
public:
  using RequestHandlerBase::RequestHandlerBase;

  void Start();

protected:
  void Evaluate() override;
  void CancelCalls() override;
  void DetachCalls() override;
  std::vector<std::shared_ptr<UpstreamServer>> LostServers() const override;
  base::Instant AvailableAt(base::Instant aNow) const override;
  Json::Value CallsToLog() const override;
  std::shared_ptr<RequestHandlerBase> Self() override { return this->shared_from_this(); }

private:
  dispatch::GatherState CurrentGatherState() const;
  base::Instant AnswerBy() const;
  void AdvanceCalls(base::Instant aNow);
  bool NothingRan() const;
  dispatch::RequestFailure CurrentRefusal(bool aDeadlineExceeded) const;
  void MergeAndRespond();
  /// Whether the first call of a suspect request crashed no server: it is answered, or none ran it.
  bool FirstIsHarmless() const;
  /// Whether servers that limit their request rate leave too few shards for the minimum coverage.
  bool LacksCapacity(base::Instant aNow) const;
  /// Starts the calls that are not started yet. For a request suspected of crashing servers, only
  /// the first call starts until it has proved harmless.
  void StartCalls(base::Instant aNow);

  std::vector<std::shared_ptr<ServiceCall>> calls;
  size_t started = 0;
};

} // namespace sapphirewind::engine
