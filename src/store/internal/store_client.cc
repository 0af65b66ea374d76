// Calls to the metadata store over HTTP.
#include "store/internal/store_client.h"

namespace dn {

Task<Result<HttpReply>> StoreClient::Call(HttpCall call, Duration timeout) {
  const std::int64_t sent_ms = Now().time_since_epoch().count();
  auto reply = co_await http_.Call(store_, std::move(call), timeout, TrafficKind::kStore);
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
  auto reply = co_await Call(std::move(call), kStoreTimeout);
  if (!reply) co_return reply.error();
  co_return protocol_.decode_append(reply.value());
}

Task<Result<ReadPage>> StoreClient::Read(Partition partition, std::int64_t from, Duration wait) {
  HttpCall call = protocol_.encode_read(partition, from, wait);
  auto reply = co_await Call(std::move(call), wait + kStoreTimeout);
  if (!reply) co_return reply.error();
  co_return protocol_.decode_read(reply.value(), partition, from);
}

Task<Result<NewestPage>> StoreClient::Newest(Partition partition) {
  NewestPageFields all;
  std::optional<std::string> after;
  bool first = true;
  do {
    HttpCall call = protocol_.encode_newest(partition, after);
    auto reply = co_await Call(std::move(call), kStoreTimeout);
    if (!reply) co_return reply.error();
    auto page = protocol_.decode_newest(reply.value());
    if (!page) co_return page.error();
    const NewestPage& got = page.value();
    if (first) all.end = got->end;
    first = false;
    all.records.insert(all.records.end(), got->records.begin(), got->records.end());
    after = got->continue_after;
  } while (after);
  co_return NewestPage(std::move(all));
}

Task<Result<Membership>> StoreClient::JoinGroup(Join join) {
  HttpCall call = protocol_.encode_join(join);
  auto reply = co_await Call(std::move(call), kStoreTimeout);
  if (!reply) co_return reply.error();
  co_return protocol_.decode_join(reply.value(), join->topic);
}

Task<Result<>> StoreClient::LeaveGroup(Join join) {
  HttpCall call = protocol_.encode_leave(join);
  auto reply = co_await Call(std::move(call), kStoreTimeout);
  if (!reply) co_return reply.error();
  if (reply.value().status != 200) co_return Errc::kUnavailable;
  co_return boost::outcome_v2::success();
}

Task<Result<std::vector<PartitionOwner>>> StoreClient::Owners(std::string group,
                                                              std::string topic) {
  HttpCall call = protocol_.encode_owners(group);
  auto reply = co_await Call(std::move(call), kStoreTimeout);
  if (!reply) co_return reply.error();
  co_return protocol_.decode_owners(reply.value(), topic);
}

}  // namespace dn
