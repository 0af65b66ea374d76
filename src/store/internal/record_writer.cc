// Group commit of records with retries and a sequence number per call.
#include "store/internal/record_writer.h"

#include <boost/asio.hpp>
#include <random>

namespace dn {
namespace {

// Maximum payload of one call; the platform allows four times as much.
constexpr std::size_t kMaxCallBytes = 512 * 1024;
// Pause after a failed call, doubled up to the maximum. The store usually responds
// within 4 ms.
constexpr Duration kRetryPause{40};
constexpr Duration kMaxRetryPause{320};
// A call of a producer without an epoch fails after this many attempts that the
// store rejected or that did not reach it.
constexpr int kMaxRejections = 3;

// Maximum number of the first append of an epoch. It leaves as many numbers below 2^53, up to which
// JSON numbers are exact.
constexpr std::int64_t kMaxFirstSequence = std::int64_t{1} << 52;

// Producers with an epoch share their name with those of earlier epochs, and the store may take an
// append for a repeat of one of theirs with the same number. A random first number keeps them
// apart.
std::int64_t FirstSequence(std::int64_t epoch) {
  if (epoch == 0) return 1;
  std::random_device device;
  return std::uniform_int_distribution<std::int64_t>(1, kMaxFirstSequence)(device);
}

std::size_t SizeOf(const StoreRecord& record) {
  return record->key.size() + (record->value ? record->value->size() : 0);
}

std::size_t SizeOf(const std::vector<StoreRecord>& records) {
  std::size_t size = 0;
  for (const StoreRecord& record : records) size += SizeOf(record);
  return size;
}

// Splits records into calls of at most kMaxCallBytes, in order.
std::vector<std::vector<StoreRecord>> SplitIntoCalls(std::vector<StoreRecord> records) {
  std::vector<std::vector<StoreRecord>> calls;
  std::size_t size = 0;
  for (StoreRecord& record : records) {
    const std::size_t added = SizeOf(record);
    if (calls.empty() || size + added > kMaxCallBytes) {
      calls.emplace_back();
      size = 0;
    }
    size += added;
    calls.back().push_back(std::move(record));
  }
  return calls;
}

}  // namespace

ConflictMeaning MeaningOfConflict(std::int64_t sent, std::int64_t expected, bool may_be_stored) {
  if (!may_be_stored) return ConflictMeaning::kNotStored;
  return expected == sent + 1 ? ConflictMeaning::kStoredEarlier : ConflictMeaning::kOutcomeUnknown;
}

RecordWriter::RecordWriter(StoreClient& store, Partition partition, std::string producer,
                           std::int64_t epoch, DecisionLog& log)
    : store_(store),
      partition_(std::move(partition)),
      name_(std::move(producer)),
      epoch_(epoch),
      log_(log),
      producer_(name_),
      next_sequence_(FirstSequence(epoch)) {}

Task<Result<StoredAppend>> RecordWriter::Fence(StoreRecord record) {
  const Producer producer({.name = producer_, .epoch = epoch_, .sequence = next_sequence_});
  std::vector<StoreRecord> records;
  records.push_back(std::move(record));
  auto response = co_await store_.Append(partition_, producer, std::move(records));
  if (!response) co_return response.error();
  const AppendResponse& answer = response.value();
  if (answer->outcome == AppendOutcome::kWrongSequence) {
    LogConflict(answer->expected_sequence, false, "given-up");
    co_return GiveUp(GiveUpCause::kSequenceConflict);
  }
  if (answer->outcome == AppendOutcome::kFenced) co_return GiveUp(GiveUpCause::kFenced);
  if (answer->outcome != AppendOutcome::kStored) co_return Errc::kUnavailable;
  co_return StoredAppend(
      {.sequence = next_sequence_++, .first = answer->first, .end = answer->end});
}

bool RecordWriter::Withdraw(const std::shared_ptr<Entry>& entry) {
  return queue_.With([&](Queue& queue) { return std::erase(queue.waiting, entry) > 0; });
}

Task<Result<StoredAppend>> RecordWriter::Append(std::vector<StoreRecord> records, Limits limits) {
  auto entry = std::make_shared<Entry>();
  entry->records = std::move(records);
  const bool start = queue_.With([&](Queue& queue) {
    queue.waiting.push_back(entry);
    return !std::exchange(queue.appending, true);
  });
  if (start) {
    auto self = shared_from_this();
    asio::co_spawn(
        co_await asio::this_coro::executor,
        [](std::shared_ptr<RecordWriter> writer) -> Task<> { co_await writer->Drain(); }(self),
        asio::detached);
  }
  while (true) {
    const std::uint64_t ticket = done_.Ticket();
    auto outcome = queue_.With([&](Queue&) { return entry->outcome; });
    if (outcome) co_return *outcome;
    const Time now = Now();
    if (now >= std::min(limits.send_by, limits.deadline) && Withdraw(entry)) {
      co_return Errc::kUnavailable;
    }
    if (now >= limits.deadline) co_return Errc::kTimeout;
    co_await done_.Wait(
        ticket, now < limits.send_by ? std::min(limits.send_by, limits.deadline) : limits.deadline);
  }
}

Task<> RecordWriter::Drain() {
  while (true) {
    std::vector<std::shared_ptr<Entry>> taken;
    std::vector<StoreRecord> records;
    const bool more = queue_.With([&](Queue& queue) {
      std::size_t size = 0;
      while (!queue.waiting.empty()) {
        const std::shared_ptr<Entry>& next = queue.waiting.front();
        size += SizeOf(next->records);
        if (!taken.empty() && size > kMaxCallBytes) break;
        records.insert(records.end(), next->records.begin(), next->records.end());
        taken.push_back(next);
        queue.waiting.pop_front();
      }
      if (taken.empty()) queue.appending = false;
      return !taken.empty();
    });
    if (!more) co_return;
    // Only a single entry can need several calls.
    Result<StoredAppend> outcome = StoredAppend();
    std::optional<std::int64_t> first;
    for (const std::vector<StoreRecord>& call : SplitIntoCalls(std::move(records))) {
      outcome = co_await AppendCall(call, epoch_ > 0);
      if (!outcome) break;
      if (!first) first = outcome.value()->first;
    }
    if (outcome && first) {
      outcome = outcome.value().With([&](StoredAppendFields& calls) { calls.first = *first; });
    }
    queue_.With([&](Queue&) {
      for (const auto& entry : taken) entry->outcome = outcome;
    });
    done_.NotifyAll();
  }
}

void RecordWriter::LogConflict(std::int64_t expected, bool may_be_stored, const char* outcome) {
  log_.Write("sequence-conflict", partition_->topic + "/" + std::to_string(partition_->number),
             "producer=" + producer_ + " epoch=" + std::to_string(epoch_) + " sent=" +
                 std::to_string(next_sequence_) + " expected=" + std::to_string(expected) +
                 " may_be_stored=" + (may_be_stored ? "1" : "0") + " outcome=" + outcome);
}

Errc RecordWriter::GiveUp(GiveUpCause cause) {
  give_up_cause_ = cause;
  return Errc::kConflict;
}

Result<> RecordWriter::HandleConflict(std::int64_t expected, bool may_be_stored) {
  if (epoch_ > 0) {
    LogConflict(expected, may_be_stored, "given-up");
    return GiveUp(GiveUpCause::kSequenceConflict);
  }
  LogConflict(expected, may_be_stored, may_be_stored ? "outcome-unknown" : "sent-again");
  // The store remembers other appends of this producer than the writer does. Under another name, no
  // number can have been used.
  producer_ = name_ + "." + std::to_string(++conflicts_);
  next_sequence_ = FirstSequence(epoch_);
  if (may_be_stored) return Errc::kTimeout;
  return boost::outcome_v2::success();
}

Task<Result<StoredAppend>> RecordWriter::AppendCall(const std::vector<StoreRecord>& records,
                                                    bool retry_rejections) {
  if (give_up_cause_ != GiveUpCause::kNone) co_return Errc::kConflict;
  bool may_be_stored = false;
  int rejections = 0;
  Duration pause = kRetryPause;
  while (true) {
    Producer producer({.name = producer_, .epoch = epoch_, .sequence = next_sequence_});
    auto response = co_await store_.Append(partition_, producer, records);
    if (response) {
      const AppendOutcome outcome = response.value()->outcome;
      if (outcome == AppendOutcome::kStored) {
        co_return StoredAppend({.sequence = next_sequence_++,
                                .first = response.value()->first,
                                .end = response.value()->end});
      }
      if (outcome == AppendOutcome::kFenced) co_return GiveUp(GiveUpCause::kFenced);
      if (outcome == AppendOutcome::kWrongSequence) {
        const std::int64_t expected = response.value()->expected_sequence;
        if (MeaningOfConflict(next_sequence_, expected, may_be_stored) ==
            ConflictMeaning::kStoredEarlier) {
          LogConflict(expected, may_be_stored, "stored-earlier");
          co_return StoredAppend({.sequence = next_sequence_++});
        }
        const Result<> again = HandleConflict(expected, may_be_stored);
        if (!again) co_return again.error();
      }
    } else if (response.error() != Errc::kUnavailable && response.error() != Errc::kUnreachable) {
      may_be_stored = true;
    }
    if (!may_be_stored && !retry_rejections && ++rejections >= kMaxRejections)
      co_return Errc::kUnavailable;
    co_await SleepFor(pause);
    pause = std::min(pause * 2, kMaxRetryPause);
  }
}

}  // namespace dn
