/// @file Request targets in origin form (a path and a query). Text of other parties, such as the
/// name of a stored object, may hold any byte, so it is percent-encoded before it becomes part of a
/// target.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::uri {

/// A request target with its parts decoded.
struct RequestTarget
{
  /// The segments of the path.
  std::vector<std::string> path;
  /// The query's parameters; of several with one name, the first.
  std::map<std::string, std::string> parameters;

  auto operator<=>(const RequestTarget&) const = default;
};

/// Encodes text as one segment of a path, or as the name or value of a query parameter: every byte
/// but letters, digits and "-._~".
std::string
EncodeComponent(std::string_view aText);

/// Encodes text as a path whose segments are separated by its slashes.
std::string
EncodePath(std::string_view aText);

/// Decodes a target; empty if it is not in origin form or malformed.
std::optional<RequestTarget>
ParseTarget(std::string_view aText);

} // namespace sapphirewind::uri
