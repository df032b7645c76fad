/// @file Callers of the soak: they send queries, plain requests and bookings all the while and
/// check every answer.
#pragma once

#include "ProcessCluster.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace sapphirewind::test {

/// What callers saw.
struct LoadResult
{
  size_t asked = 0;
  size_t served = 0;
  /// Bookings by what their caller was told.
  std::vector<std::string> bookings;
  std::vector<std::string> refusedBookings;
  std::vector<std::string> violations;
};

class LoadGenerator
{
public:
  LoadGenerator(const ProcessCluster& aFleet, uint64_t aSeed, size_t aCallers);
  ~LoadGenerator();

  /// Ends the callers and returns what they saw.
  LoadResult Finish();

private:
  void Run(uint64_t aSeed);
  void Check(const TestRequest& aRequest, const std::optional<engine::HttpResponse>& aAnswer);

  std::vector<std::string> addresses;
  std::atomic<bool> ending{ false };
  std::mutex lock;
  LoadResult record;
  std::vector<std::thread> callers;
};

/// What is wrong with a success; empty when nothing is.
std::string
WrongWith(const TestRequest& aRequest, const engine::HttpResponse& aAnswer);

} // namespace sapphirewind::test
