#include <engine/Beliefs.h>

namespace sapphirewind::engine {

Json::Value
ToJson(const Beliefs& aBeliefs)
{
  Json::Value root;
  root["instance"] = aBeliefs.instance;
  root["ready"] = aBeliefs.ready;
  root["stopping"] = aBeliefs.stopping;
  root["configuration"]["version"] = Json::UInt64(aBeliefs.version);
  root["configuration"]["age_ms"] = Json::Int64(base::ToMillis(aBeliefs.versionAge));
  root["servers"]["ready"] = Json::UInt64(aBeliefs.serversReady);
  root["servers"]["draining"] = Json::UInt64(aBeliefs.serversDraining);
  root["servers"]["ejected"] = Json::UInt64(aBeliefs.serversEjected);
  root["servers"]["heard_ms"] = Json::Int64(base::ToMillis(aBeliefs.serversHeard));
  root["store"]["lost"] = aBeliefs.storeLost;
  root["store"]["follows"] = aBeliefs.follows;
  root["second_sends"]["lowest_budget"] = aBeliefs.lowestBudget;
  root["second_sends"]["service"] = aBeliefs.lowestBudgetService;
  root["instances"] = Json::UInt64(aBeliefs.instances);
  root["sessions"] = Json::UInt64(aBeliefs.sessions);
  root["crash_suspects"] = Json::UInt64(aBeliefs.suspects);
  root["log_lines_dropped"] = Json::UInt64(aBeliefs.logLinesDropped);
  return root;
}

} // namespace sapphirewind::engine
