/// @file The procedures that an instance serves to other instances. Malformed messages and messages
/// of another protocol version are refused; scatter, book, claim and gossip also log the refusal.
#pragma once

#include <atomic>
#include <json/value.h>
#include <rpc/JsonRpc.h>
#include <tier/CellTable.h>
#include <tier/ClaimWriter.h>
#include <tier/Gossip.h>
#include <tier/ObjectCache.h>
#include <tier/PeerClient.h>

namespace sapphirewind::tier {

/// Dependencies of PeerApi. The references outlive it.
struct PeerApiContext
{
  CellTable& cells;
  ClaimWriter& claims;
  tier::Gossip& gossip;
  ObjectCache& objects;
  PeerClient& peers;
  /// Set when the instance accepts no more work. The refusal proves to a peer that nothing ran.
  std::atomic<bool>& closed;
  std::atomic<int>& inFlight;
};

/// Serves the procedures over JSON-RPC. Thread-safe.
class PeerApi
{
public:
  explicit PeerApi(PeerApiContext aContext);

  void Register(rpc::Dispatcher& aDispatcher);

private:
  Json::Value Scatter(const Json::Value& aParameters);
  Json::Value Book(const Json::Value& aParameters);
  Json::Value Claim(const Json::Value& aParameters);
  Json::Value Gossip(const Json::Value& aParameters);
  Json::Value Probe(const Json::Value& aParameters);
  Json::Value GroupsWithoutSnapshot(const Json::Value& aParameters);
  Json::Value WaitForCanary(const Json::Value& aParameters);
  Json::Value Versions() const;
  Json::Value Objects(const Json::Value& aParameters) const;

  PeerApiContext context;
};

} // namespace sapphirewind::tier
