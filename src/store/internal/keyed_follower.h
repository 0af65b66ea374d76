// Follows one partition of a compacted topic, which keeps the newest record of each
// key.
#pragma once

#include <atomic>
#include <functional>
#include <random>

#include "store/internal/store_client.h"

namespace dn {

class KeyedFollower {
 public:
  struct Options {
    Duration wait{1'000};  // Wait time of one long poll; a new record ends the wait.
    Duration pause{0};     // Pause between two reads; batches frequent records.
  };
  // Called with records in order. `complete`: `records` contains every existing key. Meanwhile,
  // position() and last_complete() are those of the reads before. Unless reads overlap, a record
  // from that position on was written after that time; another one may be of any age.
  using Handler = std::function<void(const std::vector<StoreRecord>& records, bool complete)>;

  KeyedFollower(StoreClient& store, Partition partition, Options options, DecisionLog& log,
                Handler handler)
      : store_(store),
        log_(log),
        partition_(std::move(partition)),
        options_(options),
        handler_(std::move(handler)) {}

  // Reads the newest record of every key. Must succeed once before Follow. A call after one that
  // failed continues that read, if the store still retains the records since its first page.
  Task<Result<>> Load();
  // Repeats Load, with pauses, until it succeeds or `active` returns false.
  Task<> LoadWhile(std::function<bool()> active);
  // Reads the records after the current position once. Calls Load if the store no
  // longer retains that position. Returns whether the read reached the end of the
  // partition.
  Task<Result<bool>> Poll(Duration wait);
  // Wait time of the next poll for a caller that depends on the age of the last read: none after a
  // failed poll, so that one lost response costs its timeout and a round trip only.
  Duration next_wait() const { return reachable_ ? options_.wait : Duration(0); }
  // Polls until `active` returns false.
  Task<> Follow(std::function<bool()> active);

  // Send time of the last read that reached the end of the partition; Time() if there
  // was none. All records that were stored until then have been handled.
  Time last_complete() const { return Time(Duration(last_complete_ms_.load())); }
  // Offset of the next read; after Load, the end of the partition as of that read.
  std::int64_t position() const { return position_; }
  // How long to wait after the last failed Load or Poll.
  Duration retry_pause() {
    return reading_.With([](Reading& reading) { return reading.pause; });
  }
  // Whether the last read succeeded.
  bool reachable() const { return reachable_; }

 private:
  // What reads leave to later ones. Concurrent reads take it out and put it back, so that the last
  // one to end decides; each is consistent by itself.
  struct Reading {
    NewestCursor cursor;  // Of the last Load that failed.
    ReadPacing pacing{std::random_device{}()};
    Duration pause{0};  // After the last failed read.
  };

  // Completes the read of `cursor` and handles its records. Resets `cursor` if it succeeds or if
  // the cursor is no longer valid.
  Task<Result<>> LoadFrom(NewestCursor& cursor, ReadPacing& pacing);
  // The changes since the first page of a read of the newest records.
  struct Changes {
    std::vector<StoreRecord> records{};
    std::int64_t position = 0;  // Offset after the last of them.
    Time sent{};                // Of the request for the last page.
  };
  // Reads the changes since `cursor.end()` up to the end of the partition. Resets `cursor` if the
  // store no longer retains them.
  Task<Result<Changes>> ReadChanges(NewestCursor& cursor, ReadPacing& pacing);
  void LogSkipped(const ReadPage& page);
  // Handles the page from offset `from` whose request was sent at `sent`. Returns whether it
  // reached the end of the partition.
  bool HandlePage(const ReadPage& page, std::int64_t from, Time sent);
  // Drops the cursor of a failed Load if the store does not retain the records since its first
  // page; those before `oldest` have expired.
  void DropExpiredCursor(std::int64_t oldest);
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
  Shared<Reading, LockRank::kReads> reading_;
};

}  // namespace dn
