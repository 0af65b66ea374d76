// Follows one stream and applies its records, in order, to a shared state.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "store/internal/store_client.h"
#include "store/internal/stream_page.h"
#include "store/internal/streams.h"

namespace dn {

// Wait time of one long poll; a new record ends the wait.
inline constexpr Duration kReadWait{1000};

// `Fold` is the state: Begin(offset) resets it, and Apply(record) applies the next
// record.
template <class Record, class Fold, LockRank kRank>
class StreamFollower {
 public:
  // `changed` is called after the first read and after each read that returned
  // records, without any lock held.
  StreamFollower(StoreClient& store, std::string stream, Shared<Fold, kRank>& fold,
                 EventLog& events, Metrics& metrics, std::function<void()> changed)
      : store_(store),
        stream_(std::move(stream)),
        fold_(fold),
        events_(events),
        metrics_(metrics),
        changed_(std::move(changed)) {}

  // Runs until the pool stops.
  Task<> Run() {
    while (true) {
      const bool read = co_await ReadOnce();
      if (!read) co_await SleepFor(kRetryWait);
    }
  }

  // Send time of the last read that reached the end of the stream; Time() if there
  // was none.
  Time last_complete() const { return Time(Duration(last_complete_.load())); }
  // Notified after each successful read.
  Notifier& notifier() { return read_; }

 private:
  static constexpr Duration kRetryWait{300};

  Task<bool> ReadOnce() {
    const Time sent = Now();
    const auto page = co_await store_.Read(PartitionOf(stream_), next_, kReadWait);
    if (!page) {
      MarkUnavailable();
      co_return false;
    }
    if (page.value()->expired) {
      Reset(page.value()->oldest);
      co_return true;
    }
    if (!started_) Reset(0);  // The store still retains the stream from its start.
    MarkAvailable();
    const bool any = !page.value()->records.empty();
    ApplyPage(page.value());
    if (next_ >= page.value()->end) {
      last_complete_.store(sent.time_since_epoch().count());
    }
    read_.NotifyAll();
    if (any || first_read_) changed_();
    first_read_ = false;
    co_return true;
  }

  // Discards the state and continues from offset `oldest`.
  void Reset(Offset oldest) {
    next_ = oldest;
    started_ = true;
    fold_.With([&](Fold& fold) { fold.Begin(oldest); });
  }

  void ApplyPage(const ReadPage& page) {
    const auto records = DecodePage<Record>(page, [this](Offset offset) { Skip(offset); });
    next_ = page->next;
    metrics_.Add(Counter::kRecordsRead, page->records.size());
    fold_.With([&](Fold& fold) {
      for (const auto& record : records) fold.Apply(record);
    });
  }

  void Skip(Offset offset) {
    metrics_.Add(Counter::kRecordsSkipped);
    events_.Emit(EventKind::kRecordSkipped, stream_ + "@" + std::to_string(offset));
  }

  void MarkUnavailable() {
    if (available_.exchange(false)) events_.Emit(EventKind::kStoreUnavailable, stream_);
  }
  void MarkAvailable() {
    if (!available_.exchange(true)) events_.Emit(EventKind::kStoreAvailable, stream_);
  }

  StoreClient& store_;
  const std::string stream_;
  Shared<Fold, kRank>& fold_;
  EventLog& events_;
  Metrics& metrics_;
  const std::function<void()> changed_;
  Notifier read_;
  // The next three members are used only by the Run coroutine.
  Offset next_ = 0;                          // Offset of the next read.
  bool started_ = false;                     // Reset has been called.
  bool first_read_ = true;                   // No read has succeeded yet.
  std::atomic<bool> available_{true};        // The last read succeeded.
  std::atomic<Time::rep> last_complete_{0};  // In milliseconds of Now().
};

}  // namespace dn
