/// @file The settings of one instance: JSON with comments; all problems are reported together.
#pragma once

#include <base/Time.h>
#include <document/Document.h>
#include <map>
#include <optional>
#include <string>

namespace sapphirewind::engine {

struct Settings
{
  std::string instance;
  std::string zone;
  /// Regions by availability zone, to estimate round-trip times before they are measured.
  std::map<std::string, std::string> regions;
  /// Address for callers.
  std::string callerAddress;
  /// Address of /ready.
  std::string statusAddress;
  /// Address of /metrics.
  std::string metricsAddress;
  /// Address for other instances, which read this one's mirror of the store.
  std::string peerAddress;
  std::string storeAddress;
  /// Whether the whole system starts for the first time, so that the store knows no instance yet.
  bool firstStart = false;
  /// File descriptors available for connections.
  unsigned maxDescriptors = 1024;
  /// Retries and hedges to a service per window, for all instances together: as a share of its
  /// requests, and a number in addition to that share.
  double extraShare = 0.2;
  double extraMinimum = 0.0;
  /// That window.
  base::Duration extraWindow = std::chrono::seconds(10);
  /// How long a watch at the store may wait. An unresponsive connection is detected shortly after
  /// this, which must be well before the deadline for sending to a draining server.
  base::Duration watchWait = std::chrono::seconds(2);
  /// How long a draining server may still receive requests; bounds the age of mirrored updates.
  base::Duration drain = std::chrono::seconds(3);
  /// Time from the request to stop until the platform kills the process.
  base::Duration stopWithin = std::chrono::seconds(6);

  bool operator==(const Settings&) const = default;
};

/// Parses and validates settings; reports every problem with its line.
std::optional<Settings>
ParseSettings(std::string_view aText, document::Problems& aProblems);

} // namespace sapphirewind::engine
