/// @file Puts the world together from the followed objects and the membership. Pure but for the
/// log.
#pragma once

#include <membership/View.h>
#include <string>
#include <tier/ObjectCache.h>
#include <tier/ServingState.h>

namespace sapphirewind::tier {

/// Builds the world. An object that cannot be read keeps what the previous world had of it.
ServingStatePointer
BuildServingState(const ObjectCache& aObjects,
                  const membership::View& aView,
                  const ServingState& aPrevious,
                  size_t aForcedSharers);

/// The instances that the platform lists; empty when its object is missing or malformed.
std::vector<model::InstanceRecord>
ListedInstances(const ObjectCache& aObjects);

/// The configuration object's value: the operator's text with what the audit trail needs.
struct ConfigurationObject
{
  std::string text;
  std::string nonce;
  std::string author;
};

std::optional<ConfigurationObject>
ConfigurationObjectFromJson(const Json::Value& aValue);

} // namespace sapphirewind::tier
