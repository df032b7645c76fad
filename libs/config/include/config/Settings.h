/// @file The settings of one instance: its own name, place and addresses, and the platform's
/// address.
#pragma once

#include <base/Time.h>
#include <document/Document.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::config {

/// Who sends work to upstreams. Owner is the product's way; the others are kept for comparison.
enum class DispatchMode
{
  Owner, ///< Each group has owners among the instances, which hold its queue.
  Direct ///< Each instance sends to every group through its own slice of the connections.
};

/// How a replica is chosen. Random is the baseline for comparison.
enum class ReplicaChoice
{
  LeastLoaded,
  Random
};

/// Switches for measurements. Operators have no use for them.
struct Experiment
{
  DispatchMode dispatch = DispatchMode::Owner;
  ReplicaChoice replica = ReplicaChoice::LeastLoaded;
  bool hedging = true;
  bool admission = true;
  bool canary = true;
  /// Instances that share a bundle; 0 lets the tier compute it.
  size_t sharers = 0;

  bool operator==(const Experiment&) const = default;
};

struct Settings
{
  std::string name;
  std::string region;
  std::string zone;
  std::string listen;   ///< "ip:port" to listen on.
  std::string platform; ///< "ip:port" of the platform's object API.
  /// "ip:port" of other instances to ask when the platform is down at the start.
  std::vector<std::string> seeds;
  /// How long the balancer may still send new work after the instance says that it is not ready.
  base::Duration balancerLag = std::chrono::seconds(5);
  /// The longest a stop waits for work in flight.
  base::Duration stopWithin = std::chrono::seconds(60);
  size_t maxBodyBytes = 64 * 1024;
  std::string logFile; ///< Empty logs to standard error.
  Experiment experiment;

  bool operator==(const Settings&) const = default;
};

/// Parses and checks settings; every problem is noted.
std::optional<Settings>
ParseSettings(std::string_view aText, document::Problems& aProblems);

} // namespace sapphirewind::config
