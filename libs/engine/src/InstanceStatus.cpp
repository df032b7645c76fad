#include <engine/InstanceStatus.h>

namespace sapphirewind::engine {

Json::Value
ToJson(const InstanceStatus& aStatus)
{
  Json::Value root;
  root["instance"] = aStatus.instance;
  root["ready"] = aStatus.ready;
  root["stopping"] = aStatus.stopping;
  root["configuration"]["version"] = Json::UInt64(aStatus.version);
  root["configuration"]["age_ms"] = Json::Int64(base::ToMillis(aStatus.versionAge));
  root["servers"]["ready"] = Json::UInt64(aStatus.serversReady);
  root["servers"]["draining"] = Json::UInt64(aStatus.serversDraining);
  root["servers"]["leaving"] = Json::UInt64(aStatus.serversLeaving);
  root["servers"]["ejected"] = Json::UInt64(aStatus.serversEjected);
  root["servers"]["limited"] = Json::UInt64(aStatus.serversLimited);
  root["servers"]["heard_ms"] = Json::Int64(base::ToMillis(aStatus.serverTableAge));
  root["store"]["lost"] = aStatus.storeLost;
  root["store"]["era"] = Json::UInt64(aStatus.storeEra);
  root["store"]["follows"] = aStatus.follows;
  root["second_sends"]["lowest_budget"] = aStatus.lowestBudget;
  root["second_sends"]["service"] = aStatus.lowestBudgetService;
  root["instances"] = Json::UInt64(aStatus.instances);
  root["sessions"] = Json::UInt64(aStatus.sessions);
  root["crash_suspects"] = Json::UInt64(aStatus.suspects);
  root["log_lines_dropped"] = Json::UInt64(aStatus.logLinesDropped);
  return root;
}

} // namespace sapphirewind::engine
