// Reads the newest record of each key, then follows the partition.
#include "store/internal/keyed_follower.h"

#include <map>

namespace dn {
namespace {

// Returns the newest record of each key after `changes`, in order of keys. Deleted keys are absent.
std::vector<StoreRecord> Folded(const std::vector<StoreRecord>& records,
                                const std::vector<StoreRecord>& changes) {
  std::map<std::string, const StoreRecord*> newest;
  for (const StoreRecord& record : records) newest[record->key] = &record;
  for (const StoreRecord& change : changes) newest[change->key] = &change;
  std::vector<StoreRecord> folded;
  folded.reserve(newest.size());
  for (const auto& [key, record] : newest) {
    if ((*record)->value) folded.push_back(*record);
  }
  return folded;
}

}  // namespace

void KeyedFollower::RecordComplete(Time sent) {
  std::int64_t known = last_complete_ms_;
  const std::int64_t sent_ms = sent.time_since_epoch().count();
  while (known < sent_ms && !last_complete_ms_.compare_exchange_weak(known, sent_ms)) {
  }
}

void KeyedFollower::RecordRead(std::error_code error) {
  const bool success = !error;
  if (reachable_.exchange(success) == success) return;
  log_.Write(success ? "store-regained" : "store-lost", partition_->topic,
             success ? "" : error.message());
}

Task<Result<>> KeyedFollower::Load() {
  Reading reading = reading_.With([](Reading& known) {
    return Reading{.cursor = std::exchange(known.cursor, NewestCursor()), .pacing = known.pacing};
  });
  // A replica that lags behind must not replace the newer state that was handled already.
  if (!reading.cursor.begun()) reading.cursor = NewestCursor(position_);
  auto loaded = co_await LoadFrom(reading.cursor, reading.pacing);
  if (!loaded) {
    reading.cursor.Interrupt();
    reading.pause = reading.pacing.RecordFailure(loaded.error());
    log_.Write("read-interrupted", partition_->topic,
               ToText(reading.cursor, loaded.error(), reading.pause));
  }
  reading_.With([&](Reading& known) { known = std::move(reading); });
  co_return loaded;
}

Task<Result<>> KeyedFollower::LoadFrom(NewestCursor& cursor, ReadPacing& pacing) {
  auto newest = co_await store_.Newest(partition_, cursor, pacing);
  if (!newest) co_return newest.error();
  std::vector<StoreRecord> records = cursor.records();
  std::int64_t position = cursor.end();
  Time sent = cursor.first_sent();
  // A resumed or slow read may contain keys that were deleted since, and old values. Some handlers
  // cannot undo what they did for a record, so that they get only the state after the changes.
  if (cursor.resumed() || Now() - cursor.first_sent() > kStoreTimeout) {
    auto changes = co_await ReadChanges(cursor, pacing);
    if (!changes) co_return changes.error();
    records = Folded(records, changes.value().records);
    position = changes.value().position;
    sent = changes.value().sent;
  }
  // The position follows the handler: a concurrent read that finds nothing after it
  // is complete only if everything before it has been handled.
  handler_(records, true);
  position_ = position;
  RecordComplete(sent);
  cursor = NewestCursor();
  co_return boost::outcome_v2::success();
}

Task<Result<KeyedFollower::Changes>> KeyedFollower::ReadChanges(NewestCursor& cursor,
                                                                ReadPacing& pacing) {
  Changes changes{.position = cursor.end()};
  while (true) {
    const std::int64_t from = changes.position;
    changes.sent = Now();
    auto read = co_await store_.Read(partition_, from, Duration(0), &pacing);
    if (!read) co_return read.error();
    const ReadPage& page = read.value();
    if (page->expired) {
      log_.Write("read-dropped", partition_->topic,
                 "records=" + std::to_string(cursor.records().size()) +
                     " end=" + std::to_string(cursor.end()) + " is no longer retained");
      cursor = NewestCursor();
      co_return Errc::kUnavailable;
    }
    // A replica that lags behind, or a page that makes no progress.
    if (page->end < std::max(from, position_.load()) ||
        (page->next <= from && page->next < page->end)) {
      co_return Errc::kUnavailable;
    }
    LogSkipped(page);
    changes.records.insert(changes.records.end(), page->records.begin(), page->records.end());
    changes.position = page->next;
    if (page->next >= page->end) co_return changes;
  }
}

Task<> KeyedFollower::LoadWhile(std::function<bool()> active) {
  while (active()) {
    const auto loaded = co_await Load();
    if (loaded) co_return;
    co_await SleepFor(retry_pause());
  }
}

void KeyedFollower::LogSkipped(const ReadPage& page) {
  if (page->skipped == 0) return;
  log_.Write("records-skipped", partition_->topic, "count=" + std::to_string(page->skipped));
}

bool KeyedFollower::HandlePage(const ReadPage& page, std::int64_t from, Time sent) {
  LogSkipped(page);
  if (!page->records.empty()) handler_(page->records, false);
  position_ = page->next;
  // A replica that lags behind ends before `from` and tells nothing of the records since.
  const bool complete = page->end >= from && page->next >= page->end;
  if (complete) RecordComplete(sent);
  return complete;
}

void KeyedFollower::DropExpiredCursor(std::int64_t oldest) {
  reading_.With([oldest](Reading& known) {
    if (known.cursor.end() < oldest) known.cursor = NewestCursor();
  });
}

Task<Result<bool>> KeyedFollower::Poll(Duration wait) {
  const Time sent = Now();
  const std::int64_t from = position_.load();
  ReadPacing pacing = reading_.With([](Reading& known) { return known.pacing; });
  auto page = co_await store_.Read(partition_, from, wait, &pacing);
  RecordRead(page ? std::error_code() : page.error());
  reading_.With([&](Reading& known) {
    if (!page) known.pause = pacing.RecordFailure(page.error());
    known.pacing = pacing;
  });
  if (!page) co_return page.error();
  if (page.value()->expired) {
    log_.Write("history-dropped", partition_->topic,
               "position=" + std::to_string(from) +
                   " is no longer retained; reading the newest record of each key");
    DropExpiredCursor(std::max(page.value()->oldest, from + 1));
    auto loaded = co_await Load();
    if (!loaded) co_return loaded.error();
    co_return true;
  }
  co_return HandlePage(page.value(), from, sent);
}

Task<> KeyedFollower::Follow(std::function<bool()> active) {
  while (active()) {
    auto polled = co_await Poll(options_.wait);
    if (!polled) {
      co_await SleepFor(retry_pause());
    } else if (options_.pause > Duration(0)) {
      co_await SleepFor(options_.pause);
    }
  }
}

}  // namespace dn
