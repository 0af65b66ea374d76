// Pool of threads that run all coroutines of a process.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>
#include <vector>

#include "core/core.h"

namespace dn {

namespace asio = boost::asio;
template <class T = void>
using Task = asio::awaitable<T>;

class WorkerPool {
 public:
  explicit WorkerPool(int threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  asio::io_context& context() { return context_; }
  // Starts the coroutine on a strand of its own. An exception that leaves it is
  // logged.
  void Spawn(Task<> coroutine);
  // Runs `tick` repeatedly until the pool stops, with a pause of `period` after each
  // run.
  void Every(Duration period, std::function<Task<>()> tick);
  // Runs the pool on `threads` threads, including the calling one. Blocks until
  // Stop.
  void Run();
  void Stop();

 private:
  const int threads_;
  asio::io_context context_;
  std::vector<std::thread> running_;
};

// Suspends the coroutine without blocking a thread.
Task<> SleepFor(Duration duration);

}  // namespace dn
