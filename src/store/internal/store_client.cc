// Calls to the metadata store over HTTP.
#include "store/internal/store_client.h"

namespace dn {

Task<Result<HttpReply>> StoreClient::Call(HttpCall call, CallLimits limits, CallTrace* trace) {
  const std::int64_t sent_ms = Now().time_since_epoch().count();
  auto reply = co_await http_.Call(store_, std::move(call), limits, TrafficKind::kStore, trace);
  if (reply && reply.value().status < 500 && reply.value().status != 429) {
    std::int64_t known_ms = last_contact_ms_;
    while (known_ms < sent_ms && !last_contact_ms_.compare_exchange_weak(known_ms, sent_ms)) {
    }
  }
  co_return reply;
}

Task<Result<AppendResponse>> StoreClient::Append(Partition partition,
                                                 std::optional<Producer> producer,
                                                 std::vector<StoreRecord> records) {
  HttpCall call = protocol_.encode_append(partition, producer, records);
  auto reply = co_await Call(std::move(call));
  if (!reply) co_return reply.error();
  co_return protocol_.decode_append(reply.value());
}

Task<Result<ReadPage>> StoreClient::Read(Partition partition, std::int64_t from, Duration wait,
                                         ReadPacing* pacing) {
  HttpCall call =
      protocol_.encode_read(partition, from, wait, pacing ? pacing->page_kb() : std::nullopt);
  const CallLimits limits = pacing ? pacing->PollLimits(wait) : TotalLimit(wait + kStoreTimeout);
  CallTrace trace;
  auto reply = co_await Call(std::move(call), limits, &trace);
  if (!reply) co_return reply.error();
  auto page = protocol_.decode_read(reply.value(), partition, from);
  // The time until the first byte contains that in which the store waited for a record. The small
  // response for an expired offset tells nothing of the pages that have to be read then.
  if (pacing && page && !page.value()->expired) {
    pacing->RecordPage(reply.value().body.size(), std::nullopt, trace.transfer);
  }
  co_return page;
}

Task<Result<NewestPage>> StoreClient::Newest(Partition partition) {
  NewestCursor progress;
  ReadPacing pacing(0);
  auto read = co_await Newest(partition, progress, pacing);
  if (!read) co_return read.error();
  co_return NewestPage(
      {.records = progress.records(), .continue_after = {}, .end = progress.end()});
}

Task<Result<>> StoreClient::Newest(Partition partition, NewestCursor& progress,
                                   ReadPacing& pacing) {
  while (!progress.complete()) {
    const Time sent = Now();
    CallTrace trace;
    auto reply = co_await Call(protocol_.encode_newest(partition, progress.after()),
                               pacing.PageLimits(), &trace);
    if (!reply) co_return reply.error();
    auto page = protocol_.decode_newest(reply.value());
    if (!page) co_return page.error();
    pacing.RecordPage(reply.value().body.size(), trace.first_byte, trace.transfer);
    if (!progress.Add(page.value(), sent)) co_return Errc::kUnavailable;
  }
  co_return boost::outcome_v2::success();
}

Task<Result<Membership>> StoreClient::JoinGroup(Join join) {
  HttpCall call = protocol_.encode_join(join);
  auto reply = co_await Call(std::move(call));
  if (!reply) co_return reply.error();
  co_return protocol_.decode_join(reply.value(), join->topic);
}

Task<Result<>> StoreClient::LeaveGroup(Join join) {
  HttpCall call = protocol_.encode_leave(join);
  auto reply = co_await Call(std::move(call));
  if (!reply) co_return reply.error();
  if (reply.value().status != 200) co_return Errc::kUnavailable;
  co_return boost::outcome_v2::success();
}

Task<Result<std::vector<PartitionOwner>>> StoreClient::Owners(std::string group,
                                                              std::string topic) {
  HttpCall call = protocol_.encode_owners(group);
  auto reply = co_await Call(std::move(call));
  if (!reply) co_return reply.error();
  co_return protocol_.decode_owners(reply.value(), topic);
}

}  // namespace dn
