// Condition variable for coroutines: wakes all waiting coroutines when a shared
// table has changed.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

#include "runtime/internal/worker_pool.h"

namespace dn {

class Notifier {
 public:
  // Number of notifications so far. To miss no change, call this before reading the
  // table and pass the result to Wait.
  std::uint64_t Ticket();
  // Returns at the first notification after the call that returned `ticket`, or at
  // `deadline`.
  Task<> Wait(std::uint64_t ticket, Time deadline);
  void NotifyAll();

 private:
  using Timer = std::shared_ptr<asio::steady_timer>;
  std::mutex mutex_;  // Unranked: no other lock is taken while it is held.
  std::uint64_t count_ = 0;
  std::vector<Timer> waiting_;
};

}  // namespace dn
