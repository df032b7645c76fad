/// @file A query over shards: one part of each, merged, with its true coverage.
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
  std::vector<std::shared_ptr<UpstreamServer>> LostAt() const override;
  Json::Value NotableCalls() const override;
  std::shared_ptr<RequestHandlerBase> Self() override { return this->shared_from_this(); }

private:
  dispatch::GatherState StateNow() const;
  base::Instant AnswerBy() const;
  void AdvanceCalls(base::Instant aNow);
  bool NothingSent() const;
  dispatch::RequestFailure TrueRefusal(bool aTimeIsOver) const;
  void MergeAndAnswer();
  /// Starts the calls that are not under way. Those of a suspect request wait until one shard's
  /// server has answered it.
  void StartCalls(base::Instant aNow);

  std::vector<std::shared_ptr<ServiceCall>> calls;
  size_t started = 0;
};

} // namespace sapphirewind::engine
