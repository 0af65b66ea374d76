// Runs a worker pool on its own threads, for tests that wait for coroutines.
#pragma once

#include <boost/asio.hpp>
#include <thread>

#include "runtime/runtime.h"

namespace dn::testing {

class Runner {
 public:
  Runner() : thread_([this] { pool_.Run(); }) {}
  ~Runner() { Stop(); }
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  WorkerPool& pool() { return pool_; }
  // Stops the pool and waits until no coroutine runs any more.
  void Stop() {
    pool_.Stop();
    if (thread_.joinable()) thread_.join();
  }
  // Starts `task` on a strand, as WorkerPool::Spawn does, and returns a future of its result.
  template <class T>
  std::future<T> Begin(Task<T> task) {
    return asio::co_spawn(asio::make_strand(pool_.context()), std::move(task), asio::use_future);
  }
  // Runs `task`, waits until it ends and returns its result.
  template <class T>
  T Wait(Task<T> task) {
    return Begin(std::move(task)).get();
  }

 private:
  WorkerPool pool_{3};
  std::thread thread_;
};

}  // namespace dn::testing
