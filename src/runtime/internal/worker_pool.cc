// Threads that run one io_context.
#include "runtime/internal/worker_pool.h"

#include <glog/logging.h>

#include <boost/asio.hpp>
#include <exception>

namespace dn {
namespace {

void LogFailure(const std::exception_ptr& failure) {
  if (!failure) return;
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    LOG(ERROR) << R"({"kind":"coroutine-failed","detail":")" << error.what() << "\"}";
  }
}

Task<> Repeat(Duration period, std::function<Task<>()> tick) {
  while (true) {
    co_await tick();
    co_await SleepFor(period);
  }
}

}  // namespace

WorkerPool::WorkerPool(int threads) : threads_(threads), context_(threads) {}

WorkerPool::~WorkerPool() {
  Stop();
  for (std::thread& thread : running_) thread.join();
}

void WorkerPool::Spawn(Task<> coroutine) {
  asio::co_spawn(asio::make_strand(context_), std::move(coroutine), LogFailure);
}

void WorkerPool::Every(Duration period, std::function<Task<>()> tick) {
  Spawn(Repeat(period, std::move(tick)));
}

void WorkerPool::Run() {
  const auto work = asio::make_work_guard(context_);
  for (int i = 1; i < threads_; ++i) {
    running_.emplace_back([this] { context_.run(); });
  }
  context_.run();
  for (std::thread& thread : running_) thread.join();
  running_.clear();
}

void WorkerPool::Stop() { context_.stop(); }

Task<> SleepFor(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace dn
