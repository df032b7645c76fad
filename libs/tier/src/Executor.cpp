#include <tier/Executor.h>

#include <tbb/concurrent_queue.h>

namespace sapphirewind::tier {

struct Executor::Queue
{
  tbb::concurrent_bounded_queue<std::function<void()>> tasks;
};

Executor::Executor(size_t aThreads)
  : queue(std::make_unique<Queue>())
{
  for (size_t index = 0; index < aThreads; ++index) {
    this->threads.emplace_back([this] {
      std::function<void()> task;
      // An empty task stops the thread.
      for (this->queue->tasks.pop(task); task; this->queue->tasks.pop(task)) {
        task();
        task = nullptr;
      }
    });
  }
}

Executor::~Executor()
{
  for (size_t index = 0; index < this->threads.size(); ++index) {
    this->queue->tasks.push(nullptr);
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void
Executor::Submit(std::function<void()> aTask)
{
  this->queue->tasks.push(std::move(aTask));
}

size_t
Executor::Waiting() const
{
  auto size = this->queue->tasks.size();
  return size > 0 ? static_cast<size_t>(size) : 0;
}

} // namespace sapphirewind::tier
