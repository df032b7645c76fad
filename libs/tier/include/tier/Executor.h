/// @file A thread pool for blocking tasks, with a oneTBB queue.
#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace sapphirewind::tier {

/// A pool with a fixed number of threads. Tasks may block; CPU-bound work belongs on the oneTBB
/// scheduler.
class Executor
{
public:
  explicit Executor(size_t aThreads);
  /// Runs all submitted tasks, then joins the threads.
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  void Submit(std::function<void()> aTask);

  /// Number of submitted tasks that have not started.
  size_t Waiting() const;

private:
  struct Queue;
  std::unique_ptr<Queue> queue;
  std::vector<std::thread> threads;
};

} // namespace sapphirewind::tier
