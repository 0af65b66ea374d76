// Group commit: records of many callers go to the store in one append a stream,
// paced so that all instances together stay below a stated rate.
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
  // `interval` tells the shortest time between two appends now.
  StreamAppender(WorkerPool& pool, StoreClient& store, Metrics& metrics,
                 std::function<Duration()> interval)
      : pool_(pool), store_(store), metrics_(metrics), interval_(std::move(interval)) {}

  // Appends `record`, trying again until `deadline`. Returns its offset. After
  // an error the record may still have been appended, also more than once:
  // folds ignore repetitions.
  Task<Result<Offset>> Append(std::string stream, std::string record, Time deadline);
  // The same without waiting.
  void AppendLater(std::string stream, std::string record, Time deadline);
  // Waits until nothing is pending, or until `deadline`.
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
  Task<> Commit(std::string stream);
  // Offset of the first record.
  Task<Result<Offset>> AppendOnce(std::string stream, std::vector<StoreRecord> records);
  std::vector<ItemPtr> TakeBatch(const std::string& stream);
  void Finish(const std::string& stream, std::vector<ItemPtr> batch, Result<Offset> first);

  WorkerPool& pool_;
  StoreClient& store_;
  Metrics& metrics_;
  const std::function<Duration()> interval_;
  Shared<Streams, LockRank::kAppends> streams_;
  Notifier changed_;
};

}  // namespace dn
