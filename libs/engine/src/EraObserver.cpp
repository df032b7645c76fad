#include "EraObserver.h"

#include <telemetry/Events.h>
#include <utility>

namespace sapphirewind::engine {

EraObserver::EraObserver(Options aOptions)
  : options(std::move(aOptions))
{
}

directory::EraChange
EraObserver::Observe(const HttpResponse& aAnswer, const std::string& aSource, const char* aCall)
{
  NamedEra named = this->options.codec.readEra(aAnswer);
  uint64_t before = this->era.Current();
  bool wasKnown = this->era.known.has_value();
  directory::EraChange change = directory::ObserveEra(this->era, named.era);
  bool wasMissing = std::exchange(this->isMissing, wasKnown && !named.era);
  bool isEarlier = change == directory::EraChange::Earlier;
  if (isEarlier || (this->isMissing && !wasMissing)) {
    const char* cause = named.malformed.empty() ? "no era" : "malformed";
    telemetry::LogRoutine(telemetry::Event::StoreEraUnusable,
                          { { "source", aSource },
                            { "call", aCall },
                            { "why", isEarlier ? "earlier era" : cause },
                            { "named", isEarlier ? std::to_string(*named.era) : named.malformed },
                            { "known", before } });
  }
  if (change == directory::EraChange::New) {
    telemetry::Log(telemetry::Event::StoreReturnedOlder,
                   { { "era", this->era.Current() },
                     { "before", before },
                     { "source", aSource },
                     { "call", aCall },
                     { "status", aAnswer.result_int() } });
    this->options.onNewEra();
  }
  return change;
}

http::fields
EraObserver::Headers() const
{
  http::fields fields;
  if (this->IsNamed()) {
    this->options.codec.writeEra(fields, this->era.Current());
  }
  return fields;
}

} // namespace sapphirewind::engine
