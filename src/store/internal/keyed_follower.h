// Follows one partition that keeps the newest record of each key.
#pragma once

#include <atomic>
#include <functional>

#include "store/internal/store_client.h"

namespace dn {

class KeyedFollower {
 public:
  struct Options {
    Duration wait{1'000};  // The store holds a read this long for a record.
    Duration pause{0};     // Between two reads; collects records that come often.
  };
  // Records in order. `complete`: these are all keys that exist.
  using Handler = std::function<void(const std::vector<StoreRecord>& records, bool complete)>;

  KeyedFollower(StoreClient& store, Partition partition, Options options, DecisionLog& log,
                Handler handler)
      : store_(store),
        log_(log),
        partition_(std::move(partition)),
        options_(options),
        handler_(std::move(handler)) {}

  // Reads all newest records. Must succeed once before Follow.
  Task<Result<>> Load();
  // One read of what came since; loads all again if history was dropped.
  Task<Result<>> Poll(Duration wait);
  // Polls until `active` returns false.
  Task<> Follow(std::function<bool()> active);

  Time last_success() const { return Time(Duration(last_success_ms_.load())); }

 private:
  StoreClient& store_;
  DecisionLog& log_;
  const Partition partition_;
  const Options options_;
  const Handler handler_;
  // Set by Follow and by single polls, which may overlap: a read that comes back
  // late only makes records appear again.
  std::atomic<std::int64_t> position_{0};
  std::atomic<std::int64_t> last_success_ms_{0};
  bool reached_ = true;  // The last read of Follow succeeded.
};

}  // namespace dn
