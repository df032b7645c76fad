/// @file Time types shared by all libraries. Functions that decide by time take an Instant as an
/// argument; only the daemons read the clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace sapphirewind::base {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::duration_cast;

/// Reads the monotonic clock.
inline Instant
Now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Reads the wall clock in milliseconds since the Unix epoch.
inline int64_t
WallClockMillis()
{
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// The time of day minus the monotonic clock, where aNow was just read.
inline Duration
WallClockOffset(Instant aNow)
{
  return std::chrono::milliseconds(WallClockMillis()) - aNow.time_since_epoch();
}

/// A duration in whole milliseconds, rounded down.
inline int64_t
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// A duration in milliseconds, including the fraction.
inline double
ToFractionalMillis(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1000.0;
}

/// A duration from fractional milliseconds, truncated to microseconds.
inline Duration
FromFractionalMillis(double aMillis)
{
  return Duration(static_cast<int64_t>(aMillis * 1000.0));
}

} // namespace sapphirewind::base
