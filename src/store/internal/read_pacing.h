// Page sizes, time limits and pauses of the reads of one partition, derived from how its earlier
// reads went. A pure class: it knows neither the store nor a clock.
#pragma once

#include <optional>

#include "runtime/runtime.h"
#include "store/internal/retry_backoff.h"

namespace dn {

// Timeout of a call to the store, on top of the wait time of a long poll; of a read, the initial
// time without progress after which it is given up. The store usually responds within 4 ms, and
// within 250 ms when it is slow.
inline constexpr Duration kStoreTimeout{1'000};

class ReadPacing {
 public:
  // Maximum size of a page, in kB; the store's own.
  static constexpr int kMaxPageKb = 1'024;
  // Minimum size of a page, in kB. Below this, the round trip of 40 ms between two regions takes
  // longer than the transfer even at a tenth of a link of 10 Mbit/s.
  static constexpr int kMinPageKb = 64;
  // Wanted time of the transfer of one page: what an interruption may cost.
  static constexpr Duration kPageTime{500};
  // Longest time without progress. A new connection to a store that has become available again
  // often answers sooner than the old one.
  static constexpr Duration kMaxProgressTimeout{4'000};
  // Longest time of one page, however slowly it makes progress: the largest page at a thirtieth of
  // the link of 10 Mbit/s of a small instance.
  static constexpr Duration kMaxPageTime{30'000};

  // `seed` must differ between instances and readers.
  explicit ReadPacing(std::uint64_t seed) : backoff_(kFirstPause, kMaxPause, seed) {}

  // Time limits of a read that does not wait for records: the page of a snapshot.
  CallLimits PageLimits() const;
  // Time limits of a long poll. Time for the first byte is not extended as for a page: callers
  // depend on the age of what a poll has read, and a store that is silent must be noticed.
  CallLimits PollLimits(Duration wait) const;
  // Size of the next page, in kB; nothing if it is kMaxPageKb, the store's default.
  std::optional<int> page_kb() const;

  // Handles a page of `bytes` bytes; `first_byte`: time until its first byte, nothing for a long
  // poll, as it contains that in which the store waited for records; `transfer`: time from there to
  // the last byte.
  void RecordPage(std::size_t bytes, std::optional<Duration> first_byte, Duration transfer);
  // Handles a failed read and returns the pause before the next attempt.
  Duration RecordFailure(std::error_code error);

 private:
  // Pause after a failed read, which grows up to the maximum, so that the nodes do not overload the
  // store when it becomes available again.
  static constexpr Duration kFirstPause{100};
  static constexpr Duration kMaxPause{800};

  Duration progress_timeout_ =
      kStoreTimeout;          // Time without progress; kStoreTimeout to kMaxProgressTimeout.
  int page_kb_ = kMaxPageKb;  // kMinPageKb to kMaxPageKb.
  // A page was too small for its first record: pages are not made smaller any more.
  bool has_large_records_ = false;
  RetryBackoff backoff_;
};

}  // namespace dn
