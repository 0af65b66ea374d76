// Calls to the metadata store.
#pragma once

#include "store/internal/store_protocol.h"

namespace dn {

// Longest wait for an answer that the store does not delay itself. Its usual
// answer takes 4 ms, and 250 ms when it is slow.
inline constexpr Duration kStoreTimeout{1'000};

// Errors: kUnreachable (nothing was sent), kUnavailable (the store did
// nothing), kTimeout and kBroken (may have taken effect), kMalformed.
class StoreClient {
 public:
  StoreClient(Endpoint store, StoreProtocol protocol, HttpClient& http)
      : store_(std::move(store)), protocol_(protocol), http_(http) {}

  Task<Result<AppendAnswer>> Append(Partition partition, std::optional<Producer> producer,
                                    std::vector<StoreRecord> records);
  Task<Result<ReadPage>> Read(Partition partition, std::int64_t from, Duration wait);
  // All newest records; `end` of the result is that of the first page, so that
  // reading on from there misses nothing.
  Task<Result<NewestPage>> Newest(Partition partition);
  Task<Result<Membership>> JoinGroup(Join join);
  Task<Result<>> LeaveGroup(Join join);
  Task<Result<std::vector<PartitionOwner>>> Owners(std::string group, std::string topic);

  // When the store last answered, in ms of Now(); 0: never.
  Time last_contact() const { return Time(Duration(last_contact_ms_.load())); }

 private:
  Task<Result<HttpReply>> Call(HttpCall call, Duration timeout);

  const Endpoint store_;
  const StoreProtocol protocol_;
  HttpClient& http_;
  std::atomic<std::int64_t> last_contact_ms_{0};
};

}  // namespace dn
