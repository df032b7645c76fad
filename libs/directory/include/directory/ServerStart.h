/// @file Identifies one start of a server's process.
#pragma once

#include <cstdint>
#include <string>

namespace sapphirewind::directory {

/// One start of a server's process. A server may start again under its id, and then knows nothing
/// of before.
struct ServerStart
{
  std::string id;
  /// Unix milliseconds; 0 if not reported.
  int64_t startedAtMs = 0;

  auto operator<=>(const ServerStart&) const = default;
};

} // namespace sapphirewind::directory
