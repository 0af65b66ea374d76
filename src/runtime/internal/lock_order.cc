// Run-time check of the lock order.
#include "runtime/internal/lock_order.h"

#include <glog/logging.h>

#include <algorithm>
#include <vector>

namespace dn {
namespace {

#ifndef NDEBUG
// Ranks of the locks that the current thread holds, in order of acquisition.
std::vector<LockRank>& HeldRanks() {
  thread_local std::vector<LockRank> held;
  return held;
}
#endif

}  // namespace

void RankedMutex::lock() {
#ifndef NDEBUG
  auto& held = HeldRanks();
  CHECK(held.empty() || held.back() < rank_)
      << "lock order violated: acquiring rank " << static_cast<int>(rank_) << " while holding rank "
      << static_cast<int>(held.back());
#endif
  mutex_.lock();
#ifndef NDEBUG
  held.push_back(rank_);
#endif
}

void RankedMutex::unlock() {
#ifndef NDEBUG
  auto& held = HeldRanks();
  held.erase(std::find(held.begin(), held.end(), rank_));
#endif
  mutex_.unlock();
}

}  // namespace dn
