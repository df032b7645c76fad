/// @file Serves a request that goes to one service.
#pragma once

#include "RequestHandlerBase.h"

namespace sapphirewind::engine {

class PlainRequestHandler final
  : public RequestHandlerBase
  , public std::enable_shared_from_this<PlainRequestHandler>
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
  void ForwardServerResponse();
  /// Whether a response has no body, and a length that is that of the body which it stands for.
  bool MayNameLengthOfAbsentBody(const HttpResponse& aResponse) const;

  std::shared_ptr<ServiceCall> call;
};

} // namespace sapphirewind::engine
