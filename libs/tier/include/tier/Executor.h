/// @file Threads that run blocking tasks, fed by a oneTBB queue.
#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace sapphirewind::tier {

/// A fixed number of threads. Tasks may block; work that computes belongs on oneTBB's own
/// scheduler.
class Executor
{
public:
  explicit Executor(size_t aThreads);
  /// Runs what was submitted, then joins.
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  void Submit(std::function<void()> aTask);

  /// Tasks submitted and not begun.
  size_t Waiting() const;

private:
  struct Queue;
  std::unique_ptr<Queue> queue;
  std::vector<std::thread> threads;
};

} // namespace sapphirewind::tier
