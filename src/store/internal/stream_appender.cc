// Group commit of stream records.
#include "store/internal/stream_appender.h"

#include "store/internal/streams.h"

namespace dn {

StreamAppender::ItemPtr StreamAppender::Enqueue(const std::string& stream, std::string record,
                                                Time deadline) {
  auto item = std::make_shared<Item>(Item{.record = std::move(record), .deadline = deadline});
  const bool start = streams_.With([&](Streams& streams) {
    Stream& entry = streams[stream];
    entry.waiting.push_back(item);
    return !std::exchange(entry.committing, true);
  });
  if (start) pool_.Spawn(Commit(stream));
  return item;
}

Task<Result<Offset>> StreamAppender::Append(std::string stream, std::string record, Time deadline) {
  const ItemPtr item = Enqueue(stream, std::move(record), deadline);
  while (true) {
    const std::uint64_t ticket = changed_.Ticket();
    const bool done = streams_.With([&](Streams&) { return item->done; });
    if (done) co_return item->result;
    if (Now() >= deadline) co_return Errc::kTimeout;
    co_await changed_.Wait(ticket, deadline);
  }
}

void StreamAppender::AppendLater(std::string stream, std::string record, Time deadline) {
  Enqueue(stream, std::move(record), deadline);
}

std::vector<StreamAppender::ItemPtr> StreamAppender::TakeBatch(const std::string& stream) {
  const Time now = Now();
  return streams_.With([&](Streams& streams) {
    Stream& entry = streams[stream];
    std::vector<ItemPtr> batch;
    std::vector<ItemPtr> rest;
    for (ItemPtr& item : entry.waiting) {
      if (item->deadline < now) {
        item->done = true;
      } else if (batch.size() < kMaxRecordsPerAppend) {
        batch.push_back(std::move(item));
      } else {
        rest.push_back(std::move(item));
      }
    }
    entry.waiting = std::move(rest);
    if (batch.empty()) entry.committing = false;
    return batch;
  });
}

void StreamAppender::Finish(const std::string& stream, std::vector<ItemPtr> batch,
                            Result<Offset> first) {
  streams_.With([&](Streams& streams) {
    if (!first) {
      // The failed batch goes back to the head of the queue, which keeps the order
      // of the records.
      auto& waiting = streams[stream].waiting;
      waiting.insert(waiting.begin(), batch.begin(), batch.end());
      return;
    }
    Offset offset = first.value();
    for (const ItemPtr& item : batch) {
      item->result = offset++;
      item->done = true;
    }
  });
}

Task<Result<Offset>> StreamAppender::AppendOnce(std::string stream,
                                                std::vector<StoreRecord> records) {
  auto response = co_await store_.Append(PartitionOf(stream), std::nullopt, std::move(records));
  if (!response) co_return response.error();
  if (response.value()->outcome != AppendOutcome::kStored) co_return Errc::kUnavailable;
  co_return response.value()->first;
}

Task<> StreamAppender::Commit(std::string stream) {
  while (true) {
    std::vector<ItemPtr> batch = TakeBatch(stream);
    changed_.NotifyAll();
    if (batch.empty()) co_return;
    std::vector<StoreRecord> records;
    records.reserve(batch.size());
    for (const ItemPtr& item : batch)
      records.emplace_back(StoreRecordFields{.value = item->record});
    metrics_.Add(Counter::kAppends);
    const Time started = Now();
    const Result<Offset> first = co_await AppendOnce(stream, std::move(records));
    metrics_.Add(first ? Counter::kAppendedRecords : Counter::kAppendFailures,
                 first ? batch.size() : 1);
    const bool failed = !first;
    Finish(stream, std::move(batch), first);
    changed_.NotifyAll();
    const Duration pause = failed ? kRetryWait : interval_() - (Now() - started);
    if (pause > Duration(0)) co_await SleepFor(pause);
  }
}

Task<> StreamAppender::Flush(Time deadline) {
  while (Now() < deadline) {
    const std::uint64_t ticket = changed_.Ticket();
    const bool idle = streams_.With([](const Streams& streams) {
      return std::none_of(streams.begin(), streams.end(),
                          [](const auto& entry) { return entry.second.committing; });
    });
    if (idle) co_return;
    co_await changed_.Wait(ticket, deadline);
  }
}

}  // namespace dn
