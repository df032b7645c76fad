/// @file Builds the serving state from the followed platform objects and the membership. No side
/// effects except log lines.
#pragma once

#include <membership/View.h>
#include <string>
#include <tier/ObjectCache.h>
#include <tier/ServingState.h>

namespace sapphirewind::tier {

/// Builds the serving state. A configuration or index that cannot be parsed is taken from the
/// previous state; a malformed server entry is skipped. aForcedSharers sets the number of instances
/// that share a bundle of groups; 0 computes it.
ServingStatePointer
BuildServingState(const ObjectCache& aObjects,
                  const membership::View& aView,
                  const ServingState& aPrevious,
                  size_t aForcedSharers);

/// The instances that the platform lists; empty when its object is missing or malformed.
std::vector<model::InstanceRecord>
ListedInstances(const ObjectCache& aObjects);

/// The value of the configuration object: the operator's text, and the author and nonce that the
/// audit trail needs.
struct ConfigurationObject
{
  std::string text;
  std::string nonce;
  std::string author;
};

std::optional<ConfigurationObject>
ConfigurationObjectFromJson(const Json::Value& aValue);

} // namespace sapphirewind::tier
