/// @file A request that one upstream answers.
#pragma once

#include "RunBase.h"

namespace sapphirewind::engine {

class PlainRun final
  : public RunBase
  , public std::enable_shared_from_this<PlainRun>
{
public:
  using RunBase::RunBase;

  void Start();

protected:
  void Evaluate() override;
  void CancelCalls() override;
  void DetachCalls() override;
  std::vector<std::shared_ptr<UpstreamServer>> LostAt() const override;
  Json::Value NotableCalls() const override;
  std::shared_ptr<RunBase> Self() override { return this->shared_from_this(); }

private:
  void PassOn();

  std::shared_ptr<ServiceCall> call;
};

} // namespace sapphirewind::engine
