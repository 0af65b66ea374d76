// Follows one stream and folds it into a shared table.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "store/internal/store_client.h"
#include "store/internal/stream_page.h"
#include "store/internal/streams.h"

namespace dn {

// Longest wait of one read; a record that comes in ends the wait.
inline constexpr Duration kReadWait{1000};

template <class Record, class Fold, LockRank kRank>
class StreamFollower {
 public:
  // `changed` is called after records were folded, without any lock.
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

  // When the last read was sent that brought everything up to the end of the
  // stream.
  Time last_complete() const { return Time(Duration(last_complete_.load())); }
  Notifier& notifier() { return read_; }

 private:
  static constexpr Duration kRetryWait{300};

  Task<bool> ReadOnce() {
    const Time sent = Now();
    const auto page = co_await store_.Read(PartitionOf(stream_), next_, kReadWait);
    if (!page) {
      Failed();
      co_return false;
    }
    if (page.value()->expired) {
      Begin(page.value()->oldest);
      co_return true;
    }
    if (!began_) Begin(0);  // Nothing has expired yet.
    Succeeded();
    const bool any = !page.value()->records.empty();
    Take(page.value());
    if (next_ >= page.value()->end) {
      last_complete_.store(sent.time_since_epoch().count());
    }
    read_.NotifyAll();
    if (any || first_) changed_();
    first_ = false;
    co_return true;
  }

  void Begin(Offset oldest) {
    next_ = oldest;
    began_ = true;
    fold_.With([&](Fold& fold) { fold.Begin(oldest); });
  }

  void Take(const ReadPage& page) {
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

  void Failed() {
    if (available_.exchange(false)) events_.Emit(EventKind::kStoreUnavailable, stream_);
  }
  void Succeeded() {
    if (!available_.exchange(true)) events_.Emit(EventKind::kStoreAvailable, stream_);
  }

  StoreClient& store_;
  const std::string stream_;
  Shared<Fold, kRank>& fold_;
  EventLog& events_;
  Metrics& metrics_;
  const std::function<void()> changed_;
  Notifier read_;
  Offset next_ = 0;  // Only the Run coroutine uses these three.
  bool began_ = false;
  bool first_ = true;
  std::atomic<bool> available_{true};
  std::atomic<Time::rep> last_complete_{0};
};

}  // namespace dn
