// Reads the newest record of each key, then follows the partition.
#include "store/internal/keyed_follower.h"

namespace dn {
namespace {
// Pause after a failed read, doubled up to the maximum, so that the nodes do not
// overload the store when it becomes available again.
constexpr Duration kRetryPause{100};
constexpr Duration kMaxRetryPause{800};
}  // namespace

void KeyedFollower::RecordComplete(Time sent) {
  std::int64_t known = last_complete_ms_;
  const std::int64_t sent_ms = sent.time_since_epoch().count();
  while (known < sent_ms && !last_complete_ms_.compare_exchange_weak(known, sent_ms)) {
  }
}

void KeyedFollower::RecordRead(std::error_code error) {
  const bool success = !error;
  if (reachable_.exchange(success) == success) return;
  log_.Write(success ? "store-regained" : "store-lost", partition_->topic,
             success ? "" : error.message());
}

Task<Result<>> KeyedFollower::Load() {
  const Time sent = Now();
  auto newest = co_await store_.Newest(partition_);
  if (!newest) co_return newest.error();
  // The position follows the handler: a concurrent read that finds nothing after it
  // is complete only if everything before it has been handled.
  handler_(newest.value()->records, true);
  position_ = newest.value()->end;
  RecordComplete(sent);
  co_return boost::outcome_v2::success();
}

Task<Result<bool>> KeyedFollower::Poll(Duration wait) {
  const Time sent = Now();
  auto page = co_await store_.Read(partition_, position_.load(), wait);
  RecordRead(page ? std::error_code() : page.error());
  if (!page) co_return page.error();
  if (page.value()->expired) {
    log_.Write("history-dropped", partition_->topic,
               "position=" + std::to_string(position_.load()) +
                   " is no longer retained; reading the newest record of each key");
    auto loaded = co_await Load();
    if (!loaded) co_return loaded.error();
    co_return true;
  }
  if (page.value()->skipped > 0) {
    log_.Write("records-skipped", partition_->topic,
               "count=" + std::to_string(page.value()->skipped));
  }
  if (!page.value()->records.empty()) handler_(page.value()->records, false);
  position_ = page.value()->next;
  const bool complete = page.value()->next >= page.value()->end;
  if (complete) RecordComplete(sent);
  co_return complete;
}

Task<> KeyedFollower::Follow(std::function<bool()> active) {
  Duration pause = kRetryPause;
  while (active()) {
    auto polled = co_await Poll(options_.wait);
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
