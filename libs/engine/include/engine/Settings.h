/// @file The settings of one instance, JSON with comments, checked as a whole.
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
  /// Regions by zone, to judge distances before they are measured.
  std::map<std::string, std::string> regions;
  /// Where callers connect.
  std::string callerAddress;
  /// Where /ready is served.
  std::string statusAddress;
  /// Where /metrics is served.
  std::string metricsAddress;
  /// Where other instances ask for what this one heard from the store.
  std::string peerAddress;
  std::string storeAddress;
  /// Descriptors that connections may use.
  unsigned maxDescriptors = 1024;
  /// Second sends to a service in a window, as a share of its requests and beyond that, for all
  /// instances together.
  double extraShare = 0.2;
  double extraMinimum = 0.0;
  /// How long a watch at the store may wait. A connection that fell silent is noticed a little
  /// later, which must be well before a server that leaves may get no more requests.
  base::Duration watchWait = std::chrono::seconds(2);
  /// How long a leaving server may still get requests; bounds how old second-hand news may be.
  base::Duration drain = std::chrono::seconds(3);
  /// From the request to stop to the forced end.
  base::Duration stopWithin = std::chrono::seconds(6);

  bool operator==(const Settings&) const = default;
};

/// Parses and checks; notes every problem with its line.
std::optional<Settings>
ParseSettings(std::string_view aText, document::Problems& aProblems);

} // namespace sapphirewind::engine
