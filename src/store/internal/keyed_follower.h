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
  // longer retains that position.
  Task<Result<>> Poll(Duration wait);
  // Polls until `active` returns false.
  Task<> Follow(std::function<bool()> active);

  // Time of the last successful read; Time() if there was none.
  Time last_success() const { return Time(Duration(last_success_ms_.load())); }

 private:
  StoreClient& store_;
  DecisionLog& log_;
  const Partition partition_;
  const Options options_;
  const Handler handler_;
  // Offset of the next read. Follow and single polls may overlap: a read that
  // returns late only sets the position back, and records are handled twice.
  std::atomic<std::int64_t> position_{0};
  std::atomic<std::int64_t> last_success_ms_{0};
  bool reachable_ = true;  // The last read of Follow succeeded.
};

}  // namespace dn
