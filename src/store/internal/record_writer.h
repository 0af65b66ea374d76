// Appends records to one partition. Records of concurrent callers are combined into
// one call; there is one call at a time, and it is retried until its outcome is
// known.
#pragma once

#include <deque>
#include <memory>

#include "store/internal/store_client.h"

namespace dn {

// What a sequence conflict tells about the records of the call.
enum class ConflictMeaning {
  kStoredEarlier,   // An earlier attempt stored them; the store has forgotten its response.
  kOutcomeUnknown,  // They may be stored, and the store's number does not tell.
  kNotStored,       // No earlier attempt can have stored them.
};
// `sent`: number of the call, whose earlier attempts had the same; `expected`: number that the
// store expects; `may_be_stored`: whether the outcome of an earlier attempt is unknown.
ConflictMeaning MeaningOfConflict(std::int64_t sent, std::int64_t expected, bool may_be_stored);

// Why a writer with an epoch has given up and stores nothing more.
enum class GiveUpCause {
  kNone,              // It has not.
  kFenced,            // By a higher epoch.
  kSequenceConflict,  // It does not know what the store holds.
};
template <>
struct EnumNames<GiveUpCause> {
  static constexpr std::array<EnumName<GiveUpCause>, 3> kNames = {
      {{GiveUpCause::kNone, "none"},
       {GiveUpCause::kFenced, "fenced"},
       {GiveUpCause::kSequenceConflict, "sequence-conflict"}}};
};

// Where the store placed the records of an append. The calls that stored them may also hold records
// of concurrent callers.
struct StoredAppendFields {
  std::int64_t sequence = 0;  // Number of the last call.
  // Offset of the first record of the calls, and offset after the last one; -1: unknown, since the
  // response was lost.
  std::int64_t first = -1;
  std::int64_t end = -1;

  friend auto operator<=>(const StoredAppendFields&, const StoredAppendFields&) = default;
};
using StoredAppend = Immutable<StoredAppendFields>;

class RecordWriter : public std::enable_shared_from_this<RecordWriter> {
 public:
  // `epoch`: fencing token of the producer, or 0 for none. Calls with an epoch are
  // retried until they are stored or the writer gives up, since state of the owner must
  // not be lost. Calls without one fail after a few rejected attempts, and after an unexplained
  // sequence conflict the writer goes on as a new producer.
  // Sequence conflicts are written to `log`.
  RecordWriter(StoreClient& store, Partition partition, std::string producer, std::int64_t epoch,
               DecisionLog& log);

  // Time limits of an append.
  struct Limits {
    Time send_by;   // Records still queued behind earlier ones then are withdrawn.
    Time deadline;  // Latest time at which Append returns.
  };

  // Waits until `records` are durable or a limit has passed, and returns where they are. More
  // records than fit into a call are stored in several, in order, so that the first of them may be
  // durable after an error; only producers with an epoch append that many. Errors: kUnavailable:
  // the records are not stored and never will be; kTimeout: the outcome is unknown, the records may
  // still become durable; kConflict: the writer has given up (give_up_cause), and the outcome is
  // unknown.
  Task<Result<StoredAppend>> Append(std::vector<StoreRecord> records, Limits limits);
  // Appends `record` in one call as the first of this epoch, after which the store rejects lower
  // epochs. A call that failed may be repeated with the same record, which is then stored once.
  // Must not be called again, or while another call runs, once it has succeeded; comes before
  // Append. Errors: kConflict if the epoch is fenced itself or another producer has appended with
  // it, otherwise those of StoreClient.
  Task<Result<StoredAppend>> Fence(StoreRecord record);
  GiveUpCause give_up_cause() const { return give_up_cause_; }

 private:
  struct Entry {
    std::vector<StoreRecord> records;
    std::optional<Result<StoredAppend>> outcome;
  };
  struct Queue {
    std::deque<std::shared_ptr<Entry>> waiting;
    bool appending = false;  // A Drain coroutine is running.
  };

  // Removes `entry` from the queue; returns false if it has been sent already.
  bool Withdraw(const std::shared_ptr<Entry>& entry);
  // Appends the queued entries until the queue is empty.
  Task<> Drain();
  // Appends `records` in one call, retried until the outcome is known. If
  // `retry_rejections` is false, it fails with kUnavailable after a few attempts
  // that stored nothing.
  Task<Result<StoredAppend>> AppendCall(const std::vector<StoreRecord>& records,
                                        bool retry_rejections);
  // Handles a sequence conflict that does not show that the records are stored. Returns whether
  // they may be sent again.
  Result<> HandleConflict(std::int64_t expected, bool may_be_stored);
  Errc GiveUp(GiveUpCause cause);
  // Logs that the store expected another sequence number than the one sent. `outcome`: what the
  // writer makes of it.
  void LogConflict(std::int64_t expected, bool may_be_stored, const char* outcome);

  StoreClient& store_;
  const Partition partition_;
  const std::string name_;
  const std::int64_t epoch_;
  DecisionLog& log_;
  // Used only by Fence, and afterwards by the Drain coroutine.
  std::string producer_;  // `name_`, with a number from the first conflict on.
  std::int64_t next_sequence_;
  int conflicts_ = 0;
  std::atomic<GiveUpCause> give_up_cause_{GiveUpCause::kNone};
  Shared<Queue, LockRank::kRecords> queue_;
  Notifier done_;  // The outcome of some entries is known.
};

}  // namespace dn
