// Reads the newest record of each key, then follows the partition.
#include "store/internal/keyed_follower.h"

namespace dn {
namespace {
// Pause after a failed read, doubled up to the maximum, so that the nodes do not
// overload the store when it becomes available again.
constexpr Duration kRetryPause{100};
constexpr Duration kMaxRetryPause{800};
}  // namespace

Task<Result<>> KeyedFollower::Load() {
  auto newest = co_await store_.Newest(partition_);
  if (!newest) co_return newest.error();
  position_ = newest.value()->end;
  last_success_ms_ = Now().time_since_epoch().count();
  handler_(newest.value()->records, true);
  co_return boost::outcome_v2::success();
}

Task<Result<>> KeyedFollower::Poll(Duration wait) {
  auto page = co_await store_.Read(partition_, position_.load(), wait);
  if (!page) co_return page.error();
  if (page.value()->expired) {
    log_.Write("history-dropped", partition_->topic,
               "position=" + std::to_string(position_.load()) +
                   " is no longer retained; reading the newest record of each key");
    co_return co_await Load();
  }
  if (page.value()->skipped > 0) {
    log_.Write("records-skipped", partition_->topic,
               "count=" + std::to_string(page.value()->skipped));
  }
  position_ = page.value()->next;
  last_success_ms_ = Now().time_since_epoch().count();
  if (!page.value()->records.empty()) handler_(page.value()->records, false);
  co_return boost::outcome_v2::success();
}

Task<> KeyedFollower::Follow(std::function<bool()> active) {
  Duration pause = kRetryPause;
  while (active()) {
    auto polled = co_await Poll(options_.wait);
    if (polled.has_value() != reachable_) {
      reachable_ = polled.has_value();
      log_.Write(reachable_ ? "store-regained" : "store-lost", partition_->topic,
                 polled ? "" : polled.error().message());
    }
    if (polled) {
      pause = kRetryPause;
      if (options_.pause > Duration(0)) co_await SleepFor(options_.pause);
      continue;
    }
    co_await SleepFor(pause);
    pause = std::min(pause * 2, kMaxRetryPause);
  }
}

}  // namespace dn
