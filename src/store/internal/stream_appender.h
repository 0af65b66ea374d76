// Group commit: combines the records of many callers into one append per stream.
// Appends are rate-limited so that all instances together stay below the
// configured number of appends per second.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "store/internal/store_client.h"

namespace dn {

class StreamAppender {
 public:
  // `interval` returns the current minimum time between the starts of two appends
  // to one stream.
  StreamAppender(WorkerPool& pool, StoreClient& store, Metrics& metrics,
                 std::function<Duration()> interval)
      : pool_(pool), store_(store), metrics_(metrics), interval_(std::move(interval)) {}

  // Appends `record`, retrying until `deadline`, and returns its offset. After an
  // error the record may still have been appended, possibly more than once:
  // readers of a stream must ignore duplicates.
  Task<Result<Offset>> Append(std::string stream, std::string record, Time deadline);
  // Queues `record` like Append, but does not wait for the result.
  void AppendLater(std::string stream, std::string record, Time deadline);
  // Waits until all queued records are appended or have passed their deadline,
  // but at most until `deadline`.
  Task<> Flush(Time deadline);

 private:
  struct Item {
    std::string record;
    Time deadline;
    bool done = false;
    Result<Offset> result{Errc::kTimeout};
  };
  using ItemPtr = std::shared_ptr<Item>;
  struct Stream {
    std::vector<ItemPtr> waiting;
    bool committing = false;  // A Commit coroutine runs for this stream.
  };
  using Streams = std::map<std::string, Stream>;
  static constexpr std::size_t kMaxRecordsPerAppend = 2000;
  static constexpr Duration kRetryWait{200};

  ItemPtr Enqueue(const std::string& stream, std::string record, Time deadline);
  // Appends the waiting records of `stream` batch by batch until none are left.
  Task<> Commit(std::string stream);
  // Sends one append; returns the offset of its first record.
  Task<Result<Offset>> AppendOnce(std::string stream, std::vector<StoreRecord> records);
  // Removes the next batch from the queue and expires items whose deadline has
  // passed. An empty batch ends the Commit coroutine of the stream.
  std::vector<ItemPtr> TakeBatch(const std::string& stream);
  // Completes the items of `batch`, or queues them again if the append failed.
  void Finish(const std::string& stream, std::vector<ItemPtr> batch, Result<Offset> first);

  WorkerPool& pool_;
  StoreClient& store_;
  Metrics& metrics_;
  const std::function<Duration()> interval_;
  Shared<Streams, LockRank::kAppends> streams_;
  Notifier changed_;  // An item has completed or a Commit coroutine has ended.
};

}  // namespace dn
