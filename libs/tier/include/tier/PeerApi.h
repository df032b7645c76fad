/// @file What an instance answers to other instances. Malformed messages, and those of another
/// build's version, are refused and logged.
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

/// What the answers are made from. The references outlive the API.
struct PeerApiContext
{
  CellTable& cells;
  ClaimWriter& claims;
  tier::Gossip& gossip;
  ObjectCache& objects;
  PeerClient& peers;
  /// Set when the instance takes no more work; refusing proves to a peer that nothing ran.
  std::atomic<bool>& closed;
  std::atomic<int>& inFlight;
};

/// The procedures, each over JSON-RPC by name. Thread-safe.
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
  Json::Value Lacking(const Json::Value& aParameters);
  Json::Value Survival(const Json::Value& aParameters);
  Json::Value Versions() const;
  Json::Value Objects(const Json::Value& aParameters) const;

  PeerApiContext context;
};

} // namespace sapphirewind::tier
