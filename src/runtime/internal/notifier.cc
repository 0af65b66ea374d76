// Each waiter sleeps on a timer of its own strand; a notification cancels the
// timers.
#include "runtime/internal/notifier.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace dn {

std::uint64_t Notifier::Ticket() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return count_;
}

Task<> Notifier::Wait(std::uint64_t ticket, Time deadline) {
  const auto executor = co_await asio::this_coro::executor;
  const auto timer = std::make_shared<asio::steady_timer>(executor, TimerExpiry(deadline));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (count_ != ticket) co_return;
    waiting_.push_back(timer);
  }
  boost::system::error_code ignored;
  co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(waiting_, timer);
}

void Notifier::NotifyAll() {
  std::vector<Timer> woken;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++count_;
    woken.swap(waiting_);
  }
  // Posted to the waiter's strand, which is busy until the waiter sleeps, so that no
  // timer is cancelled before its wait has begun.
  for (const Timer& timer : woken) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

}  // namespace dn
