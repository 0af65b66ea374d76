// Follows one partition of a compacted topic, which keeps the newest record of each
// key.
#pragma once

#include <atomic>
#include <functional>

#include "store/internal/store_client.h"

namespace dn {

class KeyedFollower {
 public:
  struct Options {
    Duration wait{1'000};  // Wait time of one long poll; a new record ends the wait.
    Duration pause{0};     // Pause between two reads; batches frequent records.
  };
  // Called with records in order. `complete`: `records` contains every existing key.
  using Handler = std::function<void(const std::vector<StoreRecord>& records, bool complete)>;

  KeyedFollower(StoreClient& store, Partition partition, Options options, DecisionLog& log,
                Handler handler)
      : store_(store),
        log_(log),
        partition_(std::move(partition)),
        options_(options),
        handler_(std::move(handler)) {}

  // Reads the newest record of every key. Must succeed once before Follow.
  Task<Result<>> Load();
  // Reads the records after the current position once. Calls Load if the store no
  // longer retains that position. Returns whether the read reached the end of the
  // partition.
  Task<Result<bool>> Poll(Duration wait);
  // Polls until `active` returns false.
  Task<> Follow(std::function<bool()> active);

  // Send time of the last read that reached the end of the partition; Time() if there
  // was none. All records that were stored until then have been handled.
  Time last_complete() const { return Time(Duration(last_complete_ms_.load())); }
  // Offset of the next read; after Load, the end of the partition as of that read.
  std::int64_t position() const { return position_; }
  // Whether the last read succeeded.
  bool reachable() const { return reachable_; }

 private:
  void RecordComplete(Time sent);
  // Records whether a read succeeded; logs each change.
  void RecordRead(std::error_code error);

  StoreClient& store_;
  DecisionLog& log_;
  const Partition partition_;
  const Options options_;
  const Handler handler_;
  // Offset of the next read. Follow and single polls may overlap: a read that
  // returns late only sets the position back, and records are handled twice.
  std::atomic<std::int64_t> position_{0};
  std::atomic<std::int64_t> last_complete_ms_{0};  // Never decreases.
  std::atomic<bool> reachable_{true};
};

}  // namespace dn
