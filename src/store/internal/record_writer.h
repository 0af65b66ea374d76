// Appends records to one partition: many to a call, one call at a time,
// repeated until its outcome is known.
#pragma once

#include <deque>
#include <memory>

#include "store/internal/store_client.h"

namespace dn {

class RecordWriter : public std::enable_shared_from_this<RecordWriter> {
 public:
  RecordWriter(StoreClient& store, Partition partition, std::string producer, std::int64_t epoch);

  // How long an append may take.
  struct Limits {
    Time send_by;   // Records that wait longer for earlier ones are given up.
    Time deadline;  // For the answer.
  };

  // Waits until `records` are durable or a limit has passed. Errors:
  // kUnavailable: not stored and never will be; kTimeout: the outcome is not
  // known and the records may still become durable; kConflict: fenced by a
  // later epoch, nothing more is stored.
  Task<Result<>> Append(std::vector<StoreRecord> records, Limits limits);
  // Appends nothing, but makes the store refuse lower epochs. Returns the end of
  // the partition.
  Task<Result<std::int64_t>> Fence();

 private:
  struct Entry {
    std::vector<StoreRecord> records;
    std::optional<Result<>> outcome;
  };
  struct Queue {
    std::deque<std::shared_ptr<Entry>> waiting;
    bool appending = false;  // A coroutine takes care of the queue.
  };

  // Takes an entry that was not sent yet out of the queue; false: it was.
  bool Withdraw(const std::shared_ptr<Entry>& entry);
  Task<> Drain();
  Task<Result<>> AppendCall(const std::vector<StoreRecord>& records, bool must_know);

  StoreClient& store_;
  const Partition partition_;
  const std::string producer_;
  const std::int64_t epoch_;
  std::int64_t next_sequence_ = 1;  // Used by the one coroutine in Drain.
  Shared<Queue, LockRank::kRecords> queue_;
  Notifier done_;
};

}  // namespace dn
