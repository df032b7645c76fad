/// @file The settings of one instance: its name, region, availability zone and addresses, and the
/// address of the platform.
#pragma once

#include <base/Time.h>
#include <document/Document.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirewind::config {

/// Which instances send requests to an upstream group. Owner is for production use; Direct exists
/// for comparison measurements.
enum class DispatchMode
{
  Owner, ///< Each group is owned by some of the instances, which hold its queue.
  Direct ///< Each instance sends to every group over its own share of the connections.
};

/// How a replica is selected. Random is the baseline for comparison measurements.
enum class ReplicaChoice
{
  LeastLoaded,
  Random
};

/// Switches for comparison measurements, not for production use.
struct Experiment
{
  DispatchMode dispatch = DispatchMode::Owner;
  ReplicaChoice replica = ReplicaChoice::LeastLoaded;
  bool hedging = true;
  bool admission = true;
  bool canary = true;
  /// The number of instances that share a bundle of groups; 0 computes it.
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
  /// "ip:port" of other instances to fetch the platform's objects from if the platform is
  /// unavailable at startup.
  std::vector<std::string> seeds;
  /// How long the load balancer may keep sending requests after the instance reports that it is not
  /// ready.
  base::Duration balancerLag = std::chrono::seconds(5);
  /// The maximum time that a shutdown waits for requests in flight.
  base::Duration stopWithin = std::chrono::seconds(60);
  size_t maxBodyBytes = 64 * 1024;
  std::string logFile; ///< Standard error if empty.
  Experiment experiment;

  bool operator==(const Settings&) const = default;
};

/// Parses and validates settings and reports all problems.
std::optional<Settings>
ParseSettings(std::string_view aText, document::Problems& aProblems);

} // namespace sapphirewind::config
