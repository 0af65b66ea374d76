// Client of the metadata store.
#pragma once

#include "store/internal/newest_cursor.h"
#include "store/internal/read_pacing.h"
#include "store/internal/store_protocol.h"

namespace dn {

// Errors of all calls: kUnreachable (nothing was sent), kUnavailable (the store did
// nothing), kTimeout and kBroken (the call may have taken effect), kMalformed (the
// response cannot be decoded).
class StoreClient {
 public:
  StoreClient(Endpoint store, StoreProtocol protocol, HttpClient& http)
      : store_(std::move(store)), protocol_(protocol), http_(http) {}

  Task<Result<AppendResponse>> Append(Partition partition, std::optional<Producer> producer,
                                      std::vector<StoreRecord> records);
  // Long poll: returns as soon as there are records at or after `from`, or after
  // `wait`. With `pacing`, which must outlive the call and learns from it, the page has the size
  // and the call the limits that `pacing` states; otherwise its total time is limited.
  Task<Result<ReadPage>> Read(Partition partition, std::int64_t from, Duration wait,
                              ReadPacing* pacing = nullptr);
  // Returns the newest record of each key. `end` is the end offset as of the first
  // page, so that a reader that continues from there misses no record.
  Task<Result<NewestPage>> Newest(Partition partition);
  // Continues the same read from `progress` until that is complete. If a page fails, `progress`
  // keeps the pages before it. kUnavailable: also if a page was older than the first one. Both
  // references must outlive the call.
  Task<Result<>> Newest(Partition partition, NewestCursor& progress, ReadPacing& pacing);
  Task<Result<Membership>> JoinGroup(Join join);
  Task<Result<>> LeaveGroup(Join join);
  // Returns the members of `group` that the partitions of `topic` are assigned to.
  Task<Result<std::vector<PartitionOwner>>> Owners(std::string group, std::string topic);

  // Send time of the latest call whose response was no overload or server error (status
  // 429 or 5xx); Time() if there was none.
  Time last_contact() const { return Time(Duration(last_contact_ms_.load())); }

 private:
  Task<Result<HttpReply>> Call(HttpCall call, CallLimits limits, CallTrace* trace = nullptr);
  // Calls with a total limit of kStoreTimeout.
  Task<Result<HttpReply>> Call(HttpCall call) {
    return Call(std::move(call), TotalLimit(kStoreTimeout));
  }

  const Endpoint store_;
  const StoreProtocol protocol_;
  HttpClient& http_;
  std::atomic<std::int64_t> last_contact_ms_{0};
};

}  // namespace dn
